#include "tests/unit/policy/object_homes_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using config::object_homes;
using policy::generator;
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

/// Upstreams of two zones of region 0 and of one zone of region 1 in random
/// states.
std::vector<placement_candidate> random_upstreams(generator& random)
{
    std::vector<placement_candidate> candidates(2 + random.below(40));
    for (placement_candidate& each : candidates)
    {
        each.hash = random.next();
        each.slots = 1 + random.below(4);
        each.in_flight = random.below(6);
        each.held_by_others = 6 * random.unit();
        each.service_time = 1ms * (20 + random.below(200));
        each.region = random.below(5) == 0 ? 1 : 0;
        each.zone = each.region == 1 ? 2 : random.below(2);
        each.one_way_latency = each.region == 1 ? 35ms : 0ms;
        each.allowed = random.below(8) != 0;
        each.likely_cached = random.below(10) == 0;
        each.tried = random.below(10) == 0;
    }
    return candidates;
}

/// The upstreams of the region with the largest and the second largest weight
/// for the object, as they were found before zones had homes.
std::vector<std::optional<std::size_t>>
region_choices(std::vector<placement_candidate> const& candidates,
               std::uint64_t object, std::uint32_t region)
{
    std::vector<std::optional<std::size_t>> found(2);
    for (std::optional<std::size_t>& each : found)
    {
        for (std::size_t index = 0; index < candidates.size(); ++index)
        {
            placement_candidate const& candidate = candidates[index];
            if (candidate.allowed && candidate.region == region &&
                found[0] != index &&
                (!each.has_value() ||
                 generator(object ^ candidate.hash).next() >
                     generator(object ^ candidates[*each].hash).next()))
            {
                each = index;
            }
        }
    }
    return found;
}

/// Expected completion on a candidate, as it was before zones had homes.
duration completion_before(std::vector<placement_candidate> const& candidates,
                           std::size_t index, placement_request const& request)
{
    placement_candidate const& candidate = candidates[index];
    std::vector<std::optional<std::size_t>> const choices =
        region_choices(candidates, request.object, candidate.region);
    bool const is_cached =
        request.object == 0 || candidate.likely_cached || choices[0] == index;
    placement_settings const settings;
    double const factor = is_cached ? 1
                          : choices[1] == index
                              ? settings.second_choice_run_factor
                              : settings.uncached_run_factor;
    return 2 * candidate.one_way_latency +
           upstream_placement::expected_wait(candidate) +
           scaled(candidate.service_time, factor) + candidate.penalty +
           (candidate.tried ? request.time_to_deadline : 0ms);
}

object_homes_fleet_settings statusd(std::size_t upstreams, object_homes homes)
{
    constexpr double requests_per_upstream = 6.06;
    object_homes_fleet_settings settings;
    settings.upstreams = {upstreams, upstreams};
    settings.zone_rate = requests_per_upstream * static_cast<double>(upstreams);
    settings.placement.homes = homes;
    settings.placement.remembered_objects = 19;
    settings.placement.zone_crossing_cost = 30ms;
    return settings;
}

object_homes_fleet_settings mapd(std::vector<std::size_t> upstreams,
                                 object_homes homes)
{
    constexpr double requests_per_upstream = 15.4;
    object_homes_fleet_settings settings = statusd(1, homes);
    std::size_t sum = 0;
    for (std::size_t const each : upstreams)
    {
        sum += each;
    }
    settings.zone_rate = requests_per_upstream * static_cast<double>(sum) / 2;
    settings.upstreams = std::move(upstreams);
    settings.cached = 48;
    settings.objects = 69;
    settings.cold_run = 368ms;
    settings.target = 250ms;
    settings.deadline = 2s;
    settings.response_bytes = 1500;
    settings.placement.remembered_objects = 48;
    return settings;
}

/// A minute of load after one minute in which caches fill and scopes settle.
object_homes_result settled_run(object_homes_fleet_settings const& settings)
{
    object_homes_fleet fleet(settings);
    fleet.run(60s);
    return fleet.run(60s);
}

/// Compares both scopes on the same load.
void expect_fewer_crossings(object_homes_fleet_settings settings,
                            double largest_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        settings.seed = seed;
        settings.placement.homes = object_homes::region;
        object_homes_result const before = settled_run(settings);
        settings.placement.homes = object_homes::zone;
        object_homes_result const after = settled_run(settings);
        cr_expect_lt(static_cast<double>(after.crossed_bytes),
                     largest_share * static_cast<double>(before.crossed_bytes),
                     "%lu of %lu", after.crossed_bytes, before.crossed_bytes);
        cr_expect_leq(after.cold_share(), before.cold_share() + 0.005,
                      "%.4f %.4f", after.cold_share(), before.cold_share());
        cr_expect_leq(after.bad_share(), before.bad_share() + 0.005,
                      "%.4f %.4f", after.bad_share(), before.bad_share());
        for (std::size_t zone = 0; zone < settings.upstreams.size(); ++zone)
        {
            cr_expect_leq(after.bad_share(zone), before.bad_share(zone) + 0.01,
                          "zone %zu: %.4f %.4f", zone, after.bad_share(zone),
                          before.bad_share(zone));
        }
    }
}

} // namespace

// A deployment that does not enable homes in the zone must make the decisions
// that it made before they existed, whatever zones and costs it names.
Test(object_homes, placement_with_homes_of_the_region_decides_as_before)
{
    generator random(5);
    placement_settings settings;
    settings.zone_crossing_cost = 700ms;
    upstream_placement const placement(settings);
    int placed_count = 0;
    for (int round = 0; round < 20'000; ++round)
    {
        std::vector<placement_candidate> const candidates =
            random_upstreams(random);
        placement_request request{random.below(50), 250ms, 5s, 0};
        request.required_zone_upstreams = random.below(3);
        bool const has_region =
            std::any_of(candidates.begin(), candidates.end(),
                        [](placement_candidate const& each)
                        {
                            return each.allowed && each.region == 0;
                        });
        std::optional<duration> shortest;
        for (std::size_t index = 0; index < candidates.size(); ++index)
        {
            if (candidates[index].allowed &&
                (!has_region || candidates[index].region == 0))
            {
                duration const each =
                    completion_before(candidates, index, request);
                shortest = std::min(shortest.value_or(each), each);
            }
        }
        placement_verdict const verdict =
            placement.place(candidates, request, random);
        placed const* const found = std::get_if<placed>(&verdict);
        if (found != nullptr)
        {
            ++placed_count;
            cr_assert_eq(
                completion_before(candidates, found->index, request).count(),
                shortest->count(), "round %d", round);
        }
    }
    cr_expect_gt(placed_count, 10'000);
}

// With homes in the zone an idle host stays in its zone; hosts of other regions
// and hosts that use the homes of the region send to a home of one of the
// zones. Guards against a third upstream for the object, where it runs cold.
Test(object_homes, home_of_the_region_is_home_of_one_of_its_zones)
{
    generator random(3);
    upstream_placement const placement;
    for (std::uint64_t object = 1; object <= 500; ++object)
    {
        std::vector<placement_candidate> candidates(12);
        for (std::size_t index = 0; index < candidates.size(); ++index)
        {
            candidates[index].hash = random.next();
            candidates[index].zone = index % 2;
        }
        placement_request request{object, 250ms, 5s, 0};
        std::size_t const region_home =
            std::get<placed>(placement.place(candidates, request, random))
                .index;
        request.homes = object_homes::zone;
        std::vector<std::size_t> homes;
        for (std::uint32_t own = 0; own < 2; ++own)
        {
            for (std::size_t index = 0; index < candidates.size(); ++index)
            {
                candidates[index].zone = index % 2 == own ? 0 : 1;
                candidates[index].one_way_latency =
                    candidates[index].zone == 0 ? 0ms : 1ms;
            }
            homes.push_back(
                std::get<placed>(placement.place(candidates, request, random))
                    .index);
            cr_expect_eq(homes.back() % 2, own, "the home is in the own zone");
        }
        cr_expect(homes[0] == region_home || homes[1] == region_home);
    }
}

// The home in the own zone is full. The home in the other zone has the object
// in its cache; the second choice of the own zone has not.
Test(object_homes, home_of_the_other_zone_takes_the_overflow)
{
    generator random(3);
    placement_settings settings;
    settings.zone_crossing_cost = 30ms;
    upstream_placement const placement(settings);
    for (std::uint64_t object = 1; object <= 200; ++object)
    {
        std::vector<placement_candidate> candidates(12);
        for (std::size_t index = 0; index < candidates.size(); ++index)
        {
            candidates[index].hash = random.next();
            candidates[index].zone = index % 2;
            candidates[index].service_time = 100ms;
            candidates[index].slots = 4;
        }
        placement_request request{object, 250ms, 5s, 0};
        request.homes = object_homes::zone;
        std::size_t const home =
            std::get<placed>(placement.place(candidates, request, random))
                .index;
        cr_expect_eq(candidates[home].zone, 0U);
        candidates[home].in_flight = 4;
        cr_expect_eq(
            std::get<placed>(placement.place(candidates, request, random))
                .index,
            home, "a wait of 25 ms is shorter than the crossing");
        candidates[home].in_flight = 9;
        placed const overflow =
            std::get<placed>(placement.place(candidates, request, random));
        cr_expect_eq(candidates[overflow.index].zone, 1U);
        cr_expect_eq(overflow.run_factor, 1);
        cr_expect_eq(overflow.completion.count(), duration(100ms).count(),
                     "the cost of a crossing is no time");
        request.required_zone_upstreams = 7;
        placed const elsewhere =
            std::get<placed>(placement.place(candidates, request, random));
        cr_expect(elsewhere.run_factor > 1 || elsewhere.index == home ||
                      elsewhere.index == overflow.index,
                  "callers of a zone that is too small use the region's homes");
    }
}

// No upstream of the own zone may receive requests: the home of the region
// applies to that very request, without waiting for another decision.
Test(object_homes, zone_without_allowed_upstreams_uses_the_region_at_once)
{
    generator random(3);
    upstream_placement const placement;
    for (std::uint64_t object = 1; object <= 200; ++object)
    {
        std::vector<placement_candidate> candidates(12);
        for (std::size_t index = 0; index < candidates.size(); ++index)
        {
            candidates[index].hash = random.next();
            candidates[index].zone = index % 3;
            candidates[index].allowed = index % 3 != 0;
        }
        placement_request request{object, 250ms, 5s, 0};
        std::size_t const region_home =
            std::get<placed>(placement.place(candidates, request, random))
                .index;
        request.homes = object_homes::zone;
        cr_expect_eq(
            std::get<placed>(placement.place(candidates, request, random))
                .index,
            region_home);
    }
}

// The two deployed sizes whose zones hold all objects. Crossings are the most
// expensive cost; cold runs, late responses and refusals must not pay for them.
Test(object_homes, large_zones_cross_a_third_as_often)
{
    expect_fewer_crossings(statusd(42, object_homes::zone), 0.33);
    expect_fewer_crossings(statusd(35, object_homes::zone), 0.33);
}

Test(object_homes, zones_of_few_upstreams_cross_less)
{
    expect_fewer_crossings(mapd({4, 4}, object_homes::zone), 0.2);
    expect_fewer_crossings(mapd({2, 2}, object_homes::zone), 0.4);
}

// Zones with equal traffic, of which one has half of the upstreams or fewer.
// Guards against callers of the small zone that wait there while the other zone
// has free slots.
Test(object_homes, zone_with_fewer_upstreams_serves_its_callers_as_well)
{
    expect_fewer_crossings(mapd({4, 2}, object_homes::zone), 0.4);
    expect_fewer_crossings(mapd({4, 1}, object_homes::zone), 1.0);
    object_homes_fleet_settings uneven = statusd(31, object_homes::zone);
    uneven.upstreams = {42, 20};
    expect_fewer_crossings(uneven, 0.4);
}

// 9 upstreams with 19 objects each do not hold 260 objects; 1 with 48 does not
// hold 69. Homes in the zone would make every other run a cold one.
Test(object_homes, zone_that_is_too_small_keeps_the_homes_of_the_region)
{
    for (object_homes_fleet_settings settings :
         {statusd(9, object_homes::zone), mapd({1, 1}, object_homes::zone)})
    {
        object_homes_fleet fleet(settings);
        fleet.run(60s);
        object_homes_result const with_zone = fleet.run(60s);
        cr_expect_eq(fleet.hosts_with_zone_homes(0), 0U);
        cr_expect_eq(fleet.hosts_with_zone_homes(1), 0U);
        cr_expect_eq(fleet.changes(), 0U);
        settings.placement.homes = object_homes::region;
        object_homes_result const with_region = settled_run(settings);
        cr_expect_eq(with_zone.crossed_bytes, with_region.crossed_bytes);
        cr_expect_eq(with_zone.cold, with_region.cold);
        cr_expect_eq(with_zone.late, with_region.late);
    }
}

// A zone loses its upstreams for 20 s. Its hosts use the other zone, whose
// caches hold the objects, and return once.
Test(object_homes, lost_zone_is_served_by_the_other_and_returns)
{
    object_homes_fleet_settings settings = statusd(42, object_homes::zone);
    settings.zone_rate /= 2;
    object_homes_fleet fleet(settings);
    fleet.run(60s);
    cr_expect_eq(fleet.hosts_with_zone_homes(0), settings.hosts_per_zone);
    std::uint64_t const changes = fleet.changes();
    fleet.set_zone_up(0, false);
    object_homes_result const lost = fleet.run(20s);
    cr_expect_eq(fleet.hosts_with_zone_homes(0), 0U);
    cr_expect_leq(lost.cold_share(), 0.01, "%.4f", lost.cold_share());
    cr_expect_leq(lost.bad_share(), 0.1, "%.4f", lost.bad_share());
    fleet.set_zone_up(0, true);
    fleet.run(60s);
    object_homes_result const after = fleet.run(30s);
    cr_expect_eq(fleet.hosts_with_zone_homes(0), settings.hosts_per_zone);
    cr_expect_eq(fleet.changes() - changes, 2 * settings.hosts_per_zone,
                 "each host of the zone changes twice");
    cr_expect_leq(after.cold_share(), 0.005, "%.4f", after.cold_share());
    cr_expect_leq(after.bad_share(), 0.02, "%.4f", after.bad_share());
}

// Twice as many objects as before, more than a zone of 9 upstreams holds. All
// hosts change to the homes of the region, which are in caches already.
Test(object_homes, doubled_objects_move_all_hosts_to_the_region)
{
    object_homes_fleet_settings settings = statusd(9, object_homes::zone);
    settings.objects = 110;
    object_homes_fleet fleet(settings);
    fleet.run(3min);
    cr_expect_eq(fleet.hosts_with_zone_homes(0), settings.hosts_per_zone);
    fleet.set_objects(220);
    fleet.run(5min);
    cr_expect_eq(fleet.hosts_with_zone_homes(0), 0U);
    cr_expect_eq(fleet.hosts_with_zone_homes(1), 0U);
    cr_expect_eq(fleet.changes(), 4 * settings.hosts_per_zone,
                 "each host changes twice");
    object_homes_result const after = fleet.run(60s);
    settings.objects = 220;
    settings.placement.homes = object_homes::region;
    object_homes_result const reference = settled_run(settings);
    cr_expect_leq(after.cold_share(), reference.cold_share() + 0.01,
                  "%.4f %.4f", after.cold_share(), reference.cold_share());
}

// Half of the hosts of each zone keep the homes of the region. Guards against
// hosts that disagree and thereby fill the caches with objects of both kinds.
Test(object_homes, hosts_that_disagree_cause_no_cold_runs)
{
    object_homes_fleet_settings settings = statusd(42, object_homes::zone);
    object_homes_result const agreed = settled_run(settings);
    settings.hosts_with_region_homes = 5;
    object_homes_result const mixed = settled_run(settings);
    cr_expect_leq(mixed.cold_share(), agreed.cold_share() + 0.005, "%.4f",
                  mixed.cold_share());
    cr_expect_lt(mixed.crossed_bytes, 5'000U * mixed.served / 2 / 4 * 3,
                 "%lu of %lu", mixed.crossed_bytes, 5'000U * mixed.served);
}

// Hosts of another region send a fifth of the requests. Their objects must be
// in caches that callers of the region fill.
Test(object_homes, hosts_of_another_region_cause_no_cold_runs)
{
    object_homes_fleet_settings settings = statusd(42, object_homes::zone);
    object_homes_result const own = settled_run(settings);
    settings.foreign_hosts = 22;
    settings.foreign_rate = settings.zone_rate / 2;
    settings.zone_rate *= 0.75;
    object_homes_result const with_foreign = settled_run(settings);
    cr_expect_leq(with_foreign.cold_share(), own.cold_share() + 0.005, "%.4f",
                  with_foreign.cold_share());
}
