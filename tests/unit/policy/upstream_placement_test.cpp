#include "bilberrylead/policy/upstream_placement.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/object_memory.hpp"
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
using policy::placement_question;
using policy::placement_verdict;

namespace
{

instant const start = instant{} + 1h;

/// Upstreams of three slots that run a known object in 72 ms.
std::vector<placement_candidate> idle_upstreams(std::size_t count)
{
    std::vector<placement_candidate> made(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        made[index].hash = 1000 + index * 77;
        made[index].slots = 3;
        made[index].service_time = 72ms;
    }
    return made;
}

placement_question question_of(std::uint64_t object)
{
    return {object, 250ms, 1200ms, 0};
}

struct placing
{
    placement_verdict place(std::vector<placement_candidate> const& candidates,
                            placement_question const& question)
    {
        return this->placement.place(candidates, question, this->random);
    }

    std::size_t index(std::vector<placement_candidate> const& candidates,
                      placement_question const& question)
    {
        placement_verdict const verdict = this->place(candidates, question);
        placed const* const found = std::get_if<placed>(&verdict);
        cr_assert_not_null(found);
        return found->index;
    }

    policy::upstream_placement placement;
    policy::generator random{7};
};

} // namespace

// Two entry hosts that know nothing of each other: an object must find the
// upstream that has it in its caches from both of them.
Test(upstream_placement, object_goes_to_the_same_upstream_from_every_host)
{
    placing one;
    placing other;
    other.random = policy::generator(99);
    std::vector<placement_candidate> const upstreams = idle_upstreams(8);
    std::set<std::size_t> used;
    for (std::uint64_t object = 1; object <= 200; ++object)
    {
        std::size_t const index = one.index(upstreams, question_of(object));
        cr_expect_eq(other.index(upstreams, question_of(object)), index);
        used.insert(index);
    }
    cr_expect_eq(used.size(), 8U);
}

Test(upstream_placement, lost_upstream_moves_only_its_own_objects)
{
    placing host;
    std::vector<placement_candidate> upstreams = idle_upstreams(8);
    std::vector<std::size_t> before;
    for (std::uint64_t object = 1; object <= 200; ++object)
    {
        before.push_back(host.index(upstreams, question_of(object)));
    }
    upstreams[3].allowed = false;
    for (std::uint64_t object = 1; object <= 200; ++object)
    {
        std::size_t const now = host.index(upstreams, question_of(object));
        cr_expect(before[object - 1] == 3 || before[object - 1] == now);
    }
}

// One popular object fills the upstream that knows it. Waiting there longer
// than an unknown run takes elsewhere would be the worse of the two.
Test(upstream_placement, full_upstream_gives_its_object_to_another)
{
    placing host;
    std::vector<placement_candidate> upstreams = idle_upstreams(4);
    std::size_t const first = host.index(upstreams, question_of(5));
    upstreams[first].in_flight = 3;
    cr_expect_eq(host.index(upstreams, question_of(5)), first,
                 "a short wait is better than an unknown run");
    upstreams[first].in_flight = 40;
    cr_expect_neq(host.index(upstreams, question_of(5)), first);
}

// Saturation: every answer would come too late. The caller hears so at
// once, and when room is expected.
Test(upstream_placement, overload_is_refused_with_the_time_until_room)
{
    placing host;
    std::vector<placement_candidate> upstreams = idle_upstreams(4);
    for (placement_candidate& each : upstreams)
    {
        each.others = 20;
    }
    placement_verdict const verdict = host.place(upstreams, question_of(5));
    policy::no_room_to_place const* const full =
        std::get_if<policy::no_room_to_place>(&verdict);
    cr_assert_not_null(full);
    cr_expect(full->retry_after > 100ms);
    cr_expect(full->retry_after < 2s);
}

// A crowd is refused within a moment. A caller that came back before there
// was room would be refused again, and has no third try; all of them at the
// same moment would fill the room for each other.
Test(upstream_placement,
     refused_crowd_comes_back_spread_and_after_room_is_there)
{
    placing host;
    std::vector<placement_candidate> upstreams = idle_upstreams(4);
    for (placement_candidate& each : upstreams)
    {
        each.others = 20;
    }
    duration soonest = duration::max();
    duration latest{};
    duration until_room{};
    for (int caller = 0; caller < 200; ++caller)
    {
        placement_verdict const verdict = host.place(upstreams, question_of(5));
        policy::no_room_to_place const& full =
            std::get<policy::no_room_to_place>(verdict);
        // What of the 250 ms is left beside the run may be waited.
        until_room = full.wait - (250ms - 72ms);
        soonest = std::min(soonest, full.retry_after);
        latest = std::max(latest, full.retry_after);
    }
    cr_expect(soonest > until_room);
    cr_expect(latest - soonest > until_room, "spread over as long again");
}

Test(upstream_placement, request_that_cannot_make_its_deadline_is_refused)
{
    placing host;
    placement_question question = question_of(5);
    question.to_deadline = 40ms;
    cr_expect(std::holds_alternative<policy::no_room_to_place>(
        host.place(idle_upstreams(4), question)));
}

Test(upstream_placement, region_is_left_only_if_it_has_no_upstream)
{
    placing host;
    std::vector<placement_candidate> upstreams = idle_upstreams(4);
    upstreams[2].region = 1;
    upstreams[3].region = 1;
    upstreams[0].in_flight = 3;
    upstreams[1].in_flight = 3;
    cr_expect_lt(host.index(upstreams, question_of(5)), 2U);
    upstreams[0].allowed = false;
    upstreams[1].allowed = false;
    cr_expect_geq(host.index(upstreams, question_of(5)), 2U);
    upstreams[2].allowed = false;
    upstreams[3].allowed = false;
    cr_expect(std::holds_alternative<policy::nowhere_to_place>(
        host.place(upstreams, question_of(5))));
}

Test(upstream_placement, second_try_goes_to_another_upstream)
{
    placing host;
    std::vector<placement_candidate> upstreams = idle_upstreams(2);
    std::size_t const first = host.index(upstreams, question_of(5));
    upstreams[first].tried = true;
    cr_expect_neq(host.index(upstreams, question_of(5)), first);
}

// Four times as slow, then sound again: it must be avoided within some
// answers, and tried again without anybody's word.
Test(upstream_estimate, slow_upstream_is_seen_and_forgiven)
{
    policy::upstream_estimate estimate;
    for (int run = 0; run < 10; ++run)
    {
        estimate.ran(400ms, 100ms, start);
    }
    cr_expect_gt(estimate.slowness(start), 3);
    cr_expect_lt(estimate.slowness(start + 20s), 1.1);
}

Test(upstream_estimate, report_fades_towards_what_is_usual)
{
    policy::upstream_estimate estimate;
    cr_expect_eq(estimate.others(1.5, start), 1.5);
    estimate.reported(9, 2, start);
    cr_expect_eq(estimate.others(1.5, start), 7);
    cr_expect_lt(estimate.others(1.5, start + 5s), 1.6);
}

Test(upstream_estimate, upstream_that_turned_a_request_away_counts_as_full)
{
    policy::upstream_estimate estimate;
    estimate.turned_away(3, 1, start);
    cr_expect_eq(estimate.others(0, start), 3);
}

// Eleven entry hosts, one cold upstream: in any second they send no more
// than their shares add up to.
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

Test(object_memory, oldest_object_gives_way)
{
    policy::object_memory memory;
    cr_expect_not(memory.knows(0));
    memory.note(1);
    for (std::uint64_t object = 2; object <= 24; ++object)
    {
        memory.note(object);
    }
    memory.note(1);
    memory.note(25);
    cr_expect(memory.knows(1));
    cr_expect_not(memory.knows(2));
    cr_expect(memory.knows(25));
}
