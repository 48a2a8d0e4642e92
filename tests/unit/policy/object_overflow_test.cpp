#include "tests/unit/policy/object_homes_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using config::object_homes;
using config::object_overflow;
using policy::generator;
using policy::no_free_capacity;
using policy::object_homes_fleet;
using policy::object_homes_fleet_settings;
using policy::object_homes_result;
using policy::placed;
using policy::placement_candidate;
using policy::placement_request;
using policy::placement_settings;
using policy::placement_verdict;
using policy::upstream_placement;

namespace
{

/// Twelve upstreams with four slots each; the home of the request's object is
/// full for longer than its callers wait, the others are idle.
struct full_home_with_idle_siblings
{
    explicit full_home_with_idle_siblings(object_overflow overflow)
        : placement(settings_with(overflow)), candidates(12)
    {
        for (std::size_t index = 0; index < this->candidates.size(); ++index)
        {
            this->candidates[index].hash = this->random.next();
            this->candidates[index].zone = index % 2;
            this->candidates[index].service_time = 280ms;
            this->candidates[index].slots = 4;
        }
        this->home = std::get<placed>(this->place()).index;
        this->candidates[this->home].held_by_others = 11;
    }

    static placement_settings settings_with(object_overflow overflow)
    {
        placement_settings settings;
        settings.overflow = overflow;
        settings.zone_crossing_cost = 40ms;
        return settings;
    }

    placement_verdict place()
    {
        return this->placement.place(this->candidates, this->request,
                                     this->random);
    }

    bool is_refused()
    {
        return std::holds_alternative<no_free_capacity>(this->place());
    }

    generator random{3};
    upstream_placement placement;
    std::vector<placement_candidate> candidates;
    placement_request request{17, 600ms, 5s, 0};
    std::size_t home = 0;
};

/// Two zones with 42 upstreams of 4 slots each and requests that need a third
/// of the slots; the most popular object needs more slots than one upstream
/// has.
object_homes_fleet_settings popular_objects(object_overflow overflow)
{
    object_homes_fleet_settings settings;
    settings.upstreams = {42, 42};
    settings.zone_rate = 226;
    settings.placement.overflow = overflow;
    return settings;
}

} // namespace

// A request that waits at the home would be too late, and a cold run is assumed
// to cost more than that wait. Guards against a refusal while slots are free.
Test(object_overflow, full_home_sends_to_a_free_slot)
{
    full_home_with_idle_siblings refusing(object_overflow::refuse);
    cr_expect(refusing.is_refused());
    full_home_with_idle_siblings subject(object_overflow::free_slot);
    placement_verdict const verdict = subject.place();
    cr_assert(std::holds_alternative<placed>(verdict));
    placed const found = std::get<placed>(verdict);
    cr_expect_neq(found.index, subject.home);
    cr_expect_eq(found.wait.count(), 0);
    cr_expect_eq(found.run_factor, placement_settings().cold_run_factor);
    cr_expect_eq(found.completion.count(), duration(924ms).count());
}

// Guards against a third cold run: what runs cold once is cached there.
Test(object_overflow, upstream_that_has_the_object_is_used_first)
{
    full_home_with_idle_siblings subject(object_overflow::free_slot);
    std::size_t const cached = (subject.home + 5) % subject.candidates.size();
    subject.candidates[cached].likely_cached = true;
    placed const found = std::get<placed>(subject.place());
    cr_expect_eq(found.index, cached);
    cr_expect_eq(found.run_factor, 1);
}

// Guards against responses that cross zones although the own one has room.
Test(object_overflow, free_slot_of_the_own_zone_is_used_first)
{
    full_home_with_idle_siblings subject(object_overflow::free_slot);
    subject.request.homes = object_homes::zone;
    for (placement_candidate& each : subject.candidates)
    {
        // Homes in the other zone are full too.
        each.held_by_others = each.zone == 1 ? 11 : each.held_by_others;
    }
    subject.candidates[subject.home].held_by_others = 11;
    placed const found = std::get<placed>(subject.place());
    cr_expect_eq(subject.candidates[found.index].zone, 0U);
    for (placement_candidate& each : subject.candidates)
    {
        each.held_by_others = each.zone == 0 ? 11 : 0;
    }
    placed const crossing = std::get<placed>(subject.place());
    cr_expect_eq(subject.candidates[crossing.index].zone, 1U);
    cr_expect_leq(crossing.completion.count(), duration(924ms).count(),
                  "the cost of a crossing is no time");
}

// While capacity is insufficient every request is about an object whose home is
// full. Guards against cold runs that evict all other objects.
Test(object_overflow, request_is_refused_without_a_free_slot)
{
    full_home_with_idle_siblings subject(object_overflow::free_slot);
    for (placement_candidate& each : subject.candidates)
    {
        each.held_by_others = std::max(each.held_by_others, 4.0);
    }
    cr_expect(subject.is_refused());
}

// Guards against work on an answer that has no value any more.
Test(object_overflow, cold_run_beyond_the_deadline_is_refused)
{
    full_home_with_idle_siblings subject(object_overflow::free_slot);
    subject.request.time_to_deadline = 1s;
    cr_expect(subject.is_refused());
}

// A request of a less urgent rank leaves free slots to urgent ones.
Test(object_overflow, request_with_restricted_wait_is_refused)
{
    full_home_with_idle_siblings subject(object_overflow::free_slot);
    subject.request.wait_tolerance = 0.5;
    cr_expect(subject.is_refused());
}

// Guards against refusals in a region that has two thirds of its slots free.
Test(object_overflow, popular_objects_are_served_while_slots_are_free)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        object_homes_fleet_settings settings =
            popular_objects(object_overflow::refuse);
        settings.seed = seed;
        object_homes_fleet refusing(settings);
        refusing.run(10s);
        object_homes_result const before = refusing.run(30s);
        settings.placement.overflow = object_overflow::free_slot;
        object_homes_fleet subject(settings);
        subject.run(10s);
        object_homes_result const after = subject.run(30s);
        cr_expect_lt(static_cast<double>(after.refused),
                     0.001 * static_cast<double>(after.requests), "%lu of %lu",
                     after.refused, after.requests);
        cr_expect_lt(after.bad_share(), before.bad_share(), "%.4f %.4f",
                     after.bad_share(), before.bad_share());
    }
}
