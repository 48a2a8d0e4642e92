#include "tests/unit/entry/routed_entry.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::entry;

Test(routed_request, longest_prefix_wins)
{
    routed_entry host;
    host.arrive(1, "/r/x");
    cr_expect(host.sent_to().starts_with("read-"));
    host.arrive(2, "/r/special/x");
    cr_expect(host.sent_to().starts_with("write-"));
    host.arrive(3, "/nowhere/x");
    cr_assert_not_null(host.find<answer_problem>());
    cr_expect_eq(host.find<answer_problem>()->status, 404);
}

// Guards against a 404 from an entry host without a configuration, which cannot
// know whether a route exists.
Test(routed_request, host_without_configuration_answers_not_run)
{
    entry_reducer reducer(routed_entry::make_settings(), test_seed);
    request_arrived arrival;
    arrival.path = "/r/x";
    bool refused = false;
    for (effect const& each : reducer.reduce(arrival, instant{} + 1h))
    {
        refused = refused || std::holds_alternative<answer_not_run>(each);
    }
    cr_expect(refused);
    cr_expect_not(reducer.ready());
}

// The connection broke after the request was sent: it may have run, and a retry
// could run it twice.
Test(routed_request, unsafe_request_is_never_sent_again_once_it_may_have_run)
{
    routed_entry host;
    host.arrive(1, "/w/x");
    host.reduce(upstream_failed{request_number{1}, exchange_phase::maybe_sent,
                                exchange_fault::connection_lost});
    cr_expect_not_null(host.find<answer_unknown>());
    cr_expect_null(host.find<answer_not_run>());
    host.advance(1s);
    cr_expect(host.sent_to().empty());
}

// The upstream itself states that it did not run the request.
Test(routed_request, unsafe_request_that_was_refused_is_retried_elsewhere)
{
    routed_entry host;
    host.arrive(1, "/w/x");
    std::string const first = host.sent_to();
    host.answer(1, 503, true);
    host.advance(200ms);
    cr_expect(!host.sent_to().empty() && host.sent_to() != first);
}

// The address now belongs to another upstream, which answers 421. Requests for
// the former upstream must not be sent there again.
Test(routed_request, upstream_whose_address_was_taken_gets_no_more_requests)
{
    routed_entry host;
    host.arrive(1, "/w/x");
    std::string const gone = host.sent_to();
    host.answer(1, 421, true, true);
    for (std::uint64_t number = 2; number < 30; ++number)
    {
        host.advance(50ms);
        host.arrive(number, "/w/x");
        cr_expect(host.sent_to() != gone);
        host.answer(number, 200);
        host.reduce(upstream_answer_finished{request_number{number}, {}});
    }
}

Test(routed_request, failed_answer_of_a_safe_request_is_tried_once_more)
{
    routed_entry host;
    host.arrive(1, "/r/x");
    std::string const first = host.sent_to();
    host.answer(1, 500);
    cr_expect_null(host.find<stream_answer>());
    host.advance(200ms);
    cr_expect(!host.sent_to().empty() && host.sent_to() != first);
    host.answer(1, 500);
    cr_expect_not_null(host.find<stream_answer>(),
                       "the second failure is delivered as it is");
}

Test(routed_request, failed_answer_of_an_unsafe_request_is_streamed)
{
    routed_entry host;
    host.arrive(1, "/w/x");
    host.answer(1, 500);
    cr_expect_not_null(host.find<stream_answer>());
}

Test(routed_request, attempts_of_the_route_bound_the_tries)
{
    routed_entry host;
    host.arrive(1, "/w/x");
    host.answer(1, 503, true);
    host.advance(200ms);
    host.answer(1, 503, true);
    cr_expect_not_null(host.find<answer_not_run>());
}

Test(routed_request, closed_zone_gets_no_new_request)
{
    routed_entry host;
    host.reduce(configuration_received{2, nullptr, {zone_id("z1")}});
    for (std::uint64_t number = 1; number < 20; ++number)
    {
        host.arrive(number, "/r/x");
        cr_expect(host.sent_to() == "read-2" || host.sent_to().empty());
        host.answer(number, 200);
        host.reduce(upstream_answer_finished{request_number{number}, {}});
    }
}

// A zone is reopened. Its upstreams may have lost their caches and would crash
// under the load that they bear when warm.
Test(routed_request, zone_that_was_opened_is_treated_as_cold)
{
    routed_entry host;
    host.reduce(configuration_received{2, nullptr, {zone_id("z1")}});
    host.reduce(configuration_received{3, nullptr, {}});
    std::map<std::string, int> sent;
    for (std::uint64_t number = 1; number <= 40; ++number)
    {
        host.arrive(number, "/r/x");
        ++sent[host.sent_to()];
        host.answer(number, 200);
        host.reduce(upstream_answer_finished{request_number{number}, {}});
    }
    cr_expect_leq(sent["read-0"] + sent["read-1"], 2);
}

Test(routed_request, split_gives_each_part_its_share)
{
    routed_entry host;
    int read = 0;
    for (std::uint64_t number = 1; number <= 400; ++number)
    {
        host.arrive(number, "/split/x");
        read += host.sent_to().starts_with("read-") ? 1 : 0;
        host.answer(number, 200);
        host.reduce(upstream_answer_finished{request_number{number}, {}});
    }
    cr_expect_gt(read, 270);
    cr_expect_lt(read, 330);
}

// The upstream does not respond until the route's timeout has passed.
Test(routed_request, request_past_its_route_timeout_is_answered_unknown)
{
    routed_entry host;
    host.arrive(1, "/w/x");
    host.advance(990ms);
    cr_expect_null(host.find<answer_unknown>());
    host.advance(20ms);
    cr_expect_not_null(host.find<answer_unknown>());
}

// A stop with a bounded time: requests that arrive in the second half could not
// be completed, so their connections must be refused.
Test(routed_request, bounded_stop_takes_no_callers_in_its_second_half)
{
    routed_entry host;
    host.reduce(drain_requested{});
    host.advance(2s);
    host.arrive(1, "/r/x");
    host.advance(500ms);
    cr_expect_null(host.find<stop_accepting_connections>());
    host.advance(250ms);
    cr_expect_not_null(host.find<stop_accepting_connections>());
    cr_expect_null(host.find<drained>(), "a request is in progress");
}

// Guards against a request that is taken in a planned stop, may last longer
// than the stop and is cut with the process while an upstream runs it.
Test(routed_request, request_that_may_outlast_a_bounded_stop_is_not_run)
{
    routed_entry host;
    std::shared_ptr<config::configuration> const changed =
        std::make_shared<config::configuration>(*host.configuration);
    changed->request_routes[2].timeout = 4s;
    host.reduce(configuration_received{2, changed});
    host.arrive(1, "/w/x");
    cr_expect(host.sent_to().starts_with("write-"), "before the stop");

    host.reduce(drain_requested{});
    host.advance(1500ms);
    host.arrive(2, "/w/x");
    cr_expect(host.sent_to().starts_with("write-"), "it ends in time");
    host.advance(500ms);
    host.arrive(3, "/w/x");
    answer_not_run const* const refused = host.find<answer_not_run>();
    cr_assert_not_null(refused);
    cr_expect(refused->reason == refusal_reason::stopping);
    cr_expect(refused->retry_after == duration::zero());
    host.arrive(4, "/r/x");
    cr_expect(host.sent_to().starts_with("read-"), "a short one ends in time");
}

// Requests that are restricted to a region must not leave it, even though the
// local region has nearer idle upstreams.
Test(routed_request, route_with_a_region_runs_in_that_region_only)
{
    routed_entry host;
    for (std::uint64_t number = 1; number <= 30; ++number)
    {
        host.arrive(number, "/home/x");
        cr_expect(host.sent_to() == "read-far" || host.sent_to().empty());
        host.answer(number, 200);
        host.reduce(upstream_answer_finished{request_number{number}, {}});
    }
    host.reduce(configuration_received{2, nullptr, {zone_id("z3")}});
    host.arrive(31, "/home/x");
    cr_expect_not_null(host.find<answer_not_run>(),
                       "not sent to another region instead");
}

// Only the plan moves requests between regions: requests without a restriction
// stay in the local region while it has an upstream.
Test(routed_request, request_without_a_plan_stays_in_its_region)
{
    routed_entry host;
    for (std::uint64_t number = 1; number <= 30; ++number)
    {
        host.arrive(number, "/r/x");
        cr_expect(host.sent_to() != "read-far");
        host.answer(number, 200);
        host.reduce(upstream_answer_finished{request_number{number}, {}});
    }
}

// Guards against refusing a request that may run in an idle region only. It was
// refused when upstreams of another region reported long queues and nothing was
// known of the idle ones, because the usual load was one mean over both
// regions.
Test(routed_request, full_region_does_not_refuse_for_an_idle_one)
{
    routed_entry host;
    for (std::uint64_t number = 1; number <= 40; ++number)
    {
        host.arrive(number, "/w/x");
        host.arrive(100 + number, "/r/x");
        upstream_head_received head;
        head.request = request_number{100 + number};
        head.status = 200;
        head.load = upstream_load{3, 60, {}};
        host.reduce(head);
        host.reduce(upstream_answer_finished{head.request, {}});
        host.advance(5s);
    }
    host.arrive(200, "/home/x");
    cr_expect_eq(host.sent_to(), "read-far");
}

// Guards against overloading a cold upstream, which would crash. 24 entry hosts
// of its region each receive requests in the same second, and each has a token
// saved; the bound over all hosts is 12.8.
Test(routed_request, cold_upstream_is_bounded_over_any_number_of_hosts)
{
    int max_sent = 0;
    for (int upstream = 0; upstream < 200; ++upstream)
    {
        int sent = 0;
        for (int host = 0; host < 24; ++host)
        {
            policy::cold_share const share = policy::cold_share_of(
                12.8, 24,
                std::hash<host_id>{}(host_id(fmt::format("edge-{}", host))));
            service_state state(config::work_length::brief, 1);
            config::upstream upstream_config;
            upstream_config.id = upstream_id(fmt::format("i-{}", upstream));
            upstream_config.slots = 3;
            instant const now = instant{} + 1h;
            state.configure({{&upstream_config, {}, 0, false, now + 3s}}, now);
            state.set_host_shares(share, 0);
            policy::placement_request question;
            question.time_to_target = 1s;
            question.time_to_deadline = 3s;
            for (int request = 0; request < 3; ++request)
            {
                if (std::holds_alternative<policy::placed>(
                        state.place(question, {}, {}, now)))
                {
                    state.acquire_slot(upstream_config.id, now);
                    ++sent;
                }
            }
        }
        max_sent = std::max(max_sent, sent);
    }
    cr_expect_leq(max_sent, 12);
    cr_expect_gt(max_sent, 0, "some host must find out that it is warm again");
}
