#include "tests/unit/entry/routed_entry.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// The upstream refuses the request and asks for a rest.
effects const& refuse_with_rest(routed_entry& host, std::uint64_t number,
                                duration rest)
{
    upstream_signals_received signals = host.signals_of(number);
    signals.rest = rest;
    host.reduce(signals);
    return host.answer(number, 503, true);
}

/// Lets the upstreams of "read" in the region of the host rest.
void let_region_rest(routed_entry& host, duration rest)
{
    for (int number = 0; number < 3; ++number)
    {
        upstream_signals_received signals;
        signals.service = service_id("read");
        signals.upstream = upstream_id(fmt::format("read-{}", number));
        signals.rest = rest;
        host.reduce(signals);
    }
}

} // namespace

// Guards against signals that are lost because the answered request has ended.
Test(upstream_signals, count_when_the_request_has_ended)
{
    routed_entry host;
    host.arrive(1, "/r/x");
    std::string const first = host.sent_to();
    upstream_signals_received signals = host.signals_of(1);
    host.reduce(caller_gone{request_number{1}});
    signals.rest = 3s;
    host.reduce(signals);
    cr_expect_not(
        host.reducer.accepts_requests(service_id("read"), upstream_id(first)));
}

// Guards against a leaving upstream that says so with a failure or a refusal.
Test(upstream_signals, leaving_counts_with_any_status)
{
    for (std::uint16_t const status : {200, 500, 503})
    {
        routed_entry host;
        host.arrive(1, "/r/x");
        upstream_signals_received signals = host.signals_of(1);
        signals.leaving = true;
        host.reduce(signals);
        host.answer(1, status, status == 503);
        cr_expect_not(
            host.reducer.accepts_requests(signals.service, signals.upstream),
            "status %u", status);
    }
}

Test(upstream_signals, refused_request_runs_at_an_upstream_that_does_not_rest)
{
    routed_entry host;
    host.arrive(1, "/r/x");
    std::string const first = host.sent_to();
    refuse_with_rest(host, 1, 3s);
    host.advance(300ms);
    cr_expect_neq(host.sent_to(), "");
    cr_expect_neq(host.sent_to(), first);
}

// Guards against a region that hands all its requests to another one, beyond
// the region plan, while its upstreams rest.
Test(upstream_signals, resting_region_keeps_its_requests)
{
    routed_entry host;
    let_region_rest(host, 3s);
    host.arrive(1, "/r/x");
    cr_expect_eq(host.sent_to(), "");
    answer_not_run const* const refused = host.find<answer_not_run>();
    cr_assert_not_null(refused);
    cr_expect_eq(refused->reason, refusal_reason::upstreams_resting);
    cr_expect_geq(refused->retry_after.count(), duration(3s).count());
}

Test(upstream_signals, request_of_no_time_or_no_number_changes_nothing)
{
    routed_entry host;
    host.arrive(1, "/r/x");
    upstream_signals_received signals = host.signals_of(1);
    signals.rest = 0s;
    host.reduce(signals);
    signals.rest.reset();
    signals.rest_readable = false;
    host.reduce(signals);
    cr_expect(host.reducer.accepts_requests(signals.service, signals.upstream));
    cr_expect_eq(host.reducer.counters().unreadable_rests, 1U);
    upstream_rest_requested const* const logged =
        host.find<upstream_rest_requested>();
    cr_assert_not_null(logged);
    cr_expect_not(logged->requested.has_value());
}

// Guards against a request that reaches a resting upstream since its connection
// took long to be made.
Test(upstream_signals, request_that_was_withdrawn_goes_elsewhere_at_once)
{
    routed_entry host;
    host.arrive(1, "/r/x");
    std::string const first = host.sent_to();
    upstream_signals_received signals = host.signals_of(1);
    signals.rest = 3s;
    host.reduce(signals);
    host.reduce(upstream_failed{request_number{1}, exchange_phase::not_sent,
                                exchange_fault::withdrawn});
    cr_expect_neq(host.sent_to(), "");
    cr_expect_neq(host.sent_to(), first);
    host.answer(1, 200);
    host.reduce(upstream_answer_finished{request_number{1}, {}});
    request_ended const* const end = host.find<request_ended>();
    cr_assert_not_null(end);
    cr_expect_eq(end->tried.size(), 1U, "a withdrawn request is no attempt");
}

// Guards against an upstream that is asked whether it still runs although it
// wants to be left alone.
Test(upstream_signals, resting_upstream_is_not_probed)
{
    routed_entry host;
    request_arrived arrival;
    arrival.request = request_number{1};
    arrival.host = "a.example";
    arrival.path = "/r/x";
    arrival.digest = 7;
    host.reduce(arrival);
    upstream_signals_received signals = host.signals_of(1);
    signals.rest = 3s;
    host.reduce(signals);
    host.reduce(upstream_failed{request_number{1}, exchange_phase::maybe_sent,
                                exchange_fault::connection_lost});
    cr_expect_null(host.find<probe_upstream>());
}

// Guards against kept connections to an upstream that leaves.
Test(upstream_signals, idle_connections_to_a_leaving_upstream_are_closed)
{
    routed_entry host;
    host.arrive(1, "/r/x");
    upstream_signals_received signals = host.signals_of(1);
    signals.leaving = true;
    host.reduce(signals);
    cr_expect_not_null(host.find<close_idle_connections>());
    host.reduce(signals);
    cr_expect_null(host.find<close_idle_connections>(),
                   "only when it becomes known");
}

// Guards against waiting requests that are held until their deadlines while
// every upstream rests.
Test(upstream_signals, waiting_requests_are_refused_when_every_upstream_rests)
{
    driven_entry host;
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        host.arrive(number, "lookup");
    }
    cr_assert_eq(host.reducer.counters().waiting, 2U);
    for (std::string const upstream : {"lookup-a", "lookup-b"})
    {
        upstream_signals_received signals;
        signals.service = service_id("lookup");
        signals.upstream = upstream_id(upstream);
        signals.rest = 3s;
        host.reduce(signals);
    }
    cr_expect_eq(host.reducer.counters().waiting, 0U);
    answer_not_run const* const refused = host.find<answer_not_run>();
    cr_assert_not_null(refused);
    cr_expect_eq(refused->reason, refusal_reason::upstreams_resting);
}
