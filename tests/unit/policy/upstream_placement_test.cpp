#include "bilberrylead/policy/upstream_placement.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/recent_objects.hpp"
#include "bilberrylead/policy/token_bucket.hpp"
#include "bilberrylead/policy/upstream_estimate.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::placed;
using policy::placement_candidate;
using policy::placement_request;
using policy::placement_verdict;

namespace
{

instant const start = instant{} + 1h;

/// Upstreams with three slots that run a request with a cached object in 72 ms.
std::vector<placement_candidate> idle_upstreams(std::size_t count)
{
    std::vector<placement_candidate> candidates(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        candidates[index].hash = 1000 + index * 77;
        candidates[index].slots = 3;
        candidates[index].service_time = 72ms;
    }
    return candidates;
}

placement_request request_for(std::uint64_t object)
{
    return {object, 250ms, 1200ms, 0};
}

struct placement_fixture
{
    placement_verdict place(std::vector<placement_candidate> const& candidates,
                            placement_request const& request)
    {
        return this->placement.place(candidates, request, this->random);
    }

    std::size_t index(std::vector<placement_candidate> const& candidates,
                      placement_request const& request)
    {
        placement_verdict const verdict = this->place(candidates, request);
        placed const* const found = std::get_if<placed>(&verdict);
        cr_assert_not_null(found);
        return found->index;
    }

    policy::upstream_placement placement;
    policy::generator random{7};
};

} // namespace

// Two entry hosts without any communication must send an object to the same
// upstream, which has it cached.
Test(upstream_placement, object_goes_to_the_same_upstream_from_every_host)
{
    placement_fixture first_host;
    placement_fixture second_host;
    second_host.random = policy::generator(99);
    std::vector<placement_candidate> const upstreams = idle_upstreams(8);
    std::set<std::size_t> used;
    for (std::uint64_t object = 1; object <= 200; ++object)
    {
        std::size_t const index =
            first_host.index(upstreams, request_for(object));
        cr_expect_eq(second_host.index(upstreams, request_for(object)), index);
        used.insert(index);
    }
    cr_expect_eq(used.size(), 8U);
}

Test(upstream_placement, lost_upstream_moves_only_its_own_objects)
{
    placement_fixture host;
    std::vector<placement_candidate> upstreams = idle_upstreams(8);
    std::vector<std::size_t> before;
    for (std::uint64_t object = 1; object <= 200; ++object)
    {
        before.push_back(host.index(upstreams, request_for(object)));
    }
    upstreams[3].allowed = false;
    for (std::uint64_t object = 1; object <= 200; ++object)
    {
        std::size_t const now = host.index(upstreams, request_for(object));
        cr_expect(before[object - 1] == 3 || before[object - 1] == now);
    }
}

// One popular object fills the upstream that has it cached. Guards against
// waiting there longer than a run with a cold cache takes elsewhere.
Test(upstream_placement, object_of_a_full_upstream_goes_to_another)
{
    placement_fixture host;
    std::vector<placement_candidate> upstreams = idle_upstreams(4);
    std::size_t const first = host.index(upstreams, request_for(5));
    upstreams[first].in_flight = 3;
    cr_expect_eq(host.index(upstreams, request_for(5)), first,
                 "a short wait is better than a run with a cold cache");
    upstreams[first].in_flight = 40;
    cr_expect_neq(host.index(upstreams, request_for(5)), first);
}

// Saturation: every answer would be too late. The caller is refused at once and
// receives the time until free capacity is expected.
Test(upstream_placement,
     overload_is_refused_with_the_time_until_capacity_is_free)
{
    placement_fixture host;
    std::vector<placement_candidate> upstreams = idle_upstreams(4);
    for (placement_candidate& candidate : upstreams)
    {
        candidate.held_by_others = 20;
    }
    placement_verdict const verdict = host.place(upstreams, request_for(5));
    policy::no_free_capacity const* const full =
        std::get_if<policy::no_free_capacity>(&verdict);
    cr_assert_not_null(full);
    cr_expect(full->retry_after > 100ms);
    cr_expect(full->retry_after < 2s);
}

// Many callers are refused at about the same time. Guards against retries
// before there is free capacity, which would be refused again although callers
// have no third attempt, and against simultaneous retries, which would take the
// free capacity from each other.
Test(upstream_placement,
     refused_callers_retry_spread_out_after_capacity_is_free)
{
    placement_fixture host;
    std::vector<placement_candidate> upstreams = idle_upstreams(4);
    for (placement_candidate& candidate : upstreams)
    {
        candidate.held_by_others = 20;
    }
    duration earliest = duration::max();
    duration latest{};
    duration until_capacity{};
    for (int caller = 0; caller < 200; ++caller)
    {
        placement_verdict const verdict = host.place(upstreams, request_for(5));
        policy::no_free_capacity const& full =
            std::get<policy::no_free_capacity>(verdict);
        // The part of the 250 ms that the run does not need may be spent
        // waiting.
        until_capacity = full.wait - (250ms - 72ms);
        earliest = std::min(earliest, full.retry_after);
        latest = std::max(latest, full.retry_after);
    }
    cr_expect(earliest > until_capacity);
    cr_expect(latest - earliest > until_capacity,
              "the spread is longer than the time until capacity is free");
}

Test(upstream_placement, request_that_cannot_meet_its_deadline_is_refused)
{
    placement_fixture host;
    placement_request request = request_for(5);
    request.time_to_deadline = 40ms;
    cr_expect(std::holds_alternative<policy::no_free_capacity>(
        host.place(idle_upstreams(4), request)));
}

Test(upstream_placement, region_is_left_only_if_it_has_no_upstream)
{
    placement_fixture host;
    std::vector<placement_candidate> upstreams = idle_upstreams(4);
    upstreams[2].region = 1;
    upstreams[3].region = 1;
    upstreams[0].in_flight = 3;
    upstreams[1].in_flight = 3;
    cr_expect_lt(host.index(upstreams, request_for(5)), 2U);
    upstreams[0].allowed = false;
    upstreams[1].allowed = false;
    cr_expect_geq(host.index(upstreams, request_for(5)), 2U);
    upstreams[2].allowed = false;
    upstreams[3].allowed = false;
    cr_expect(std::holds_alternative<policy::no_upstream_allowed>(
        host.place(upstreams, request_for(5))));
}

Test(upstream_placement, second_attempt_goes_to_another_upstream)
{
    placement_fixture host;
    std::vector<placement_candidate> upstreams = idle_upstreams(2);
    std::size_t const first = host.index(upstreams, request_for(5));
    upstreams[first].tried = true;
    cr_expect_neq(host.index(upstreams, request_for(5)), first);
}

// An upstream is four times as slow for a while. It must be avoided after a few
// answers and, without any external signal, tried again later.
Test(upstream_estimate, slowdown_is_detected_and_decays)
{
    policy::upstream_estimate estimate;
    for (int run = 0; run < 10; ++run)
    {
        estimate.record_run(400ms, 100ms, start);
    }
    cr_expect_gt(estimate.slowdown(start), 3);
    cr_expect_lt(estimate.slowdown(start + 20s), 1.1);
}

Test(upstream_estimate, report_decays_towards_the_sibling_mean)
{
    policy::upstream_estimate estimate;
    cr_expect_eq(estimate.held_by_others(1.5, start), 1.5);
    estimate.record_report(9, 2, start);
    cr_expect_eq(estimate.held_by_others(1.5, start), 7);
    cr_expect_lt(estimate.held_by_others(1.5, start + 5s), 1.6);
}

Test(upstream_estimate, upstream_that_refused_a_request_counts_as_full)
{
    policy::upstream_estimate estimate;
    estimate.record_refusal(3, 1, start);
    cr_expect_eq(estimate.held_by_others(0, start), 3);
}

// Eleven entry hosts and one cold upstream: in any second the hosts send no
// more than the sum of their shares.
Test(token_bucket, hosts_together_keep_the_bound_of_a_cold_upstream)
{
    constexpr double share = 0.5;
    std::vector<policy::token_bucket> hosts(11);
    std::vector<instant> sent;
    for (duration passed{}; passed < 5s; passed += 10ms)
    {
        for (policy::token_bucket& host : hosts)
        {
            if (host.has_token(share, start + passed))
            {
                host.consume(share, start + passed);
                sent.push_back(start + passed);
            }
        }
    }
    for (std::size_t first = 0; first < sent.size(); ++first)
    {
        std::size_t last = first;
        while (last < sent.size() && sent[last] < sent[first] + 1s)
        {
            ++last;
        }
        cr_expect_leq(last - first, 11U + 6U);
    }
    cr_expect_gt(sent.size(), 25U);
}

Test(recent_objects, least_recently_used_object_is_evicted)
{
    policy::recent_objects objects;
    cr_expect_not(objects.contains(0));
    objects.record(1);
    for (std::uint64_t object = 2; object <= 24; ++object)
    {
        objects.record(object);
    }
    objects.record(1);
    objects.record(25);
    cr_expect(objects.contains(1));
    cr_expect_not(objects.contains(2));
    cr_expect(objects.contains(25));
}

// Guards against slots that stay idle although a restricted request could use
// them, and against one that waits although it must not.
Test(upstream_placement,
     request_without_tolerance_is_placed_on_a_free_slot_only)
{
    placement_fixture host;
    std::vector<placement_candidate> candidates = idle_upstreams(1);
    placement_request request = request_for(0);
    request.wait_tolerance = 0;
    candidates[0].in_flight = 2;
    cr_expect(std::holds_alternative<placed>(host.place(candidates, request)));
    candidates[0].in_flight = 3;
    cr_expect(std::holds_alternative<policy::no_free_capacity>(
        host.place(candidates, request)));
    request.wait_tolerance = 1;
    cr_expect(std::holds_alternative<placed>(host.place(candidates, request)));
}

// Guards against restricted callers that return while more urgent requests
// still claim each slot that becomes free.
Test(upstream_placement, restricted_request_gets_a_later_retry_time)
{
    placement_fixture whole;
    placement_fixture restricted;
    std::vector<placement_candidate> candidates = idle_upstreams(1);
    candidates[0].in_flight = 30;
    placement_request request = request_for(0);
    placement_verdict const usual = whole.place(candidates, request);
    request.wait_tolerance = 0.25;
    placement_verdict const later = restricted.place(candidates, request);
    cr_expect_gt(std::get<policy::no_free_capacity>(later).retry_after,
                 std::get<policy::no_free_capacity>(usual).retry_after + 72ms);
}
