#include "tests/unit/entry/fleet_traffic.hpp"
#include "tests/unit/entry/routed_entry.hpp"
#include "tests/unit/entry/upstream_fleet.hpp"

#include <criterion/criterion.h>

#include <cstddef>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// A request that was on its way when the upstream answered may still arrive.
constexpr duration grace = 100ms;
constexpr double rate = 60;

/// Gives the host a listing that lacks one upstream.
void list_without(routed_entry& entry, upstream_id const& id)
{
    auto const listing = entry.listing();
    std::erase_if(*listing,
                  [&id](discovery::listed_upstream const& each)
                  {
                      return each.upstream.id == id;
                  });
    entry.reduce(upstreams_listed{listing});
}

} // namespace

// Guards against new requests to an upstream that said in an answer that it is
// leaving.
Test(leaving_upstream, receives_no_request_after_it_said_so)
{
    for (bool const refuses : {false, true})
    {
        upstream_fleet fleet({.hosts = 5, .upstreams = 4});
        send_requests(fleet, rate, 2s);
        fleet.set_leaving();
        fleet.set_refusing(refuses);
        send_requests(fleet, rate, 5s);
        cr_expect_eq(fleet.sent_after_leaving(grace), 0U, "%zu requests",
                     fleet.sent_after_leaving(grace));
    }
}

// Guards against a listing that is older than the answer and brings the
// upstream back.
Test(leaving_upstream, stays_excluded_when_a_listing_lags)
{
    upstream_fleet fleet({.hosts = 5, .upstreams = 4});
    send_requests(fleet, rate, 2s);
    fleet.set_leaving();
    send_requests(fleet, rate, 2s);
    fleet.publish_listing();
    send_requests(fleet, rate, 2s);
    fleet.publish_listing_without_first();
    send_requests(fleet, rate, 2s);
    fleet.publish_listing();
    send_requests(fleet, rate, 4s);
    cr_expect_eq(fleet.sent_after_leaving(grace), 0U, "%zu requests",
                 fleet.sent_after_leaving(grace));
}

// Guards against an exclusion that ends by time while the incarnation is still
// there.
Test(leaving_upstream, stays_excluded_until_its_incarnation_ends)
{
    upstream_fleet fleet({.hosts = 1, .upstreams = 2});
    fleet.set_leaving();
    send_requests(fleet, rate, 2s);
    fleet.run_for(20min);
    send_requests(fleet, rate, 2s);
    cr_expect_eq(fleet.sent_after_leaving(grace), 0U, "%zu requests",
                 fleet.sent_after_leaving(grace));
}

// Guards against an upstream that is never used again because it started again
// under its id.
Test(leaving_upstream, is_used_again_once_its_next_incarnation_is_listed)
{
    for (std::size_t const hosts : {1, 10, 80})
    {
        upstream_fleet fleet({.hosts = hosts,
                              .upstreams = 4,
                              .restart = 1500ms,
                              .keeps_ids = true});
        send_requests(fleet, rate, 2s);
        fleet.set_leaving();
        send_requests(fleet, rate, 3s);
        fleet.end_upstream(0);
        send_requests(fleet, rate, 4s);
        instant const begin = fleet.now;
        send_requests(fleet, rate, 4s);
        cr_expect_gt(fleet.limited_since(begin), 20U, "%zu requests in 4 s",
                     fleet.limited_since(begin));
        cr_expect_eq(fleet.sent_after_leaving(grace), 0U, "%zu requests",
                     fleet.sent_after_leaving(grace));
    }
}

// Guards against an upstream that is excluded by what its last incarnation
// said, in an answer that arrives late.
Test(leaving_upstream, is_not_excluded_by_a_late_answer_of_its_last_incarnation)
{
    for (bool const misdirected : {false, true})
    {
        routed_entry entry;
        entry.arrive(1, "/r/x");
        start_upstream const order = *entry.find<start_upstream>();
        entry.restart(order.upstream, {1, 7});
        upstream_signals_received signals = entry.signals_of(1);
        signals.leaving = !misdirected;
        signals.misdirected = misdirected;
        entry.reduce(signals);
        cr_expect(
            entry.reducer.accepts_requests(order.service, order.upstream));
        // An older listing, from a leader that lags.
        entry.restart(order.upstream, {1, 6});
        signals.incarnation = {1, 7};
        entry.reduce(signals);
        cr_expect_not(
            entry.reducer.accepts_requests(order.service, order.upstream));
        entry.restart(order.upstream, {1, 7});
        cr_expect_not(
            entry.reducer.accepts_requests(order.service, order.upstream));
    }
}

// Guards against a hold that ends since the answer came when the upstream was
// listed no more, and a listing that lags lists it again.
Test(leaving_upstream, stays_excluded_by_an_answer_that_came_after_its_listing)
{
    routed_entry entry;
    entry.arrive(1, "/r/x");
    start_upstream const order = *entry.find<start_upstream>();
    entry.restart(order.upstream, {1, 7});
    entry.arrive(2, "/r/x");
    entry.reduce(caller_gone{static_cast<request_number>(1)});
    entry.reduce(caller_gone{static_cast<request_number>(2)});
    list_without(entry, order.upstream);
    upstream_signals_received signals = entry.signals_of(1);
    signals.incarnation = {1, 7};
    signals.leaving = true;
    entry.reduce(signals);
    entry.restart(order.upstream, {1, 7});
    cr_expect_not(
        entry.reducer.accepts_requests(order.service, order.upstream));
    entry.restart(order.upstream, {1, 8});
    cr_expect(entry.reducer.accepts_requests(order.service, order.upstream));
}

// Guards against a new incarnation that is taken for busy, or for free, by
// requests of the one before.
Test(leaving_upstream, requests_hold_slots_of_their_own_incarnation_only)
{
    config::upstream upstream;
    upstream.id = upstream_id("u");
    upstream.slots = 1;
    instant const now = instant{} + 1h;
    service_state state(config::work_length::brief, 1);
    configured_upstream configured;
    configured.upstream = &upstream;
    configured.incarnation = {1, 1};
    state.configure({configured}, now);
    upstream_incarnation const first = state.current_incarnation(upstream.id);
    state.acquire_slot(upstream.id, now);
    cr_expect_null(state.choose({}, {}, now));
    configured.incarnation = {1, 2};
    state.configure({configured}, now);
    cr_expect_not_null(state.choose({}, {}, now));
    state.acquire_slot(upstream.id, now);
    state.record_slot_time(first, 1min);
    state.record_failure(first, now);
    state.release_slot(first);
    cr_expect_null(state.choose({}, {}, now));
    state.release_slot(state.current_incarnation(upstream.id));
    cr_expect_not_null(state.choose({}, {}, now));
}

// Guards against a request that is sent to an upstream although a listing said
// that it is leaving while the connection to it was being made.
Test(leaving_upstream, is_refused_a_connecting_request_once_listed_as_leaving)
{
    routed_entry entry;
    entry.arrive(1, "/r/x");
    start_upstream const order = *entry.find<start_upstream>();
    cr_assert(entry.reducer.accepts_requests(order.service, order.upstream));
    auto const listing = entry.listing();
    for (discovery::listed_upstream& each : *listing)
    {
        each.upstream.leaving = each.upstream.id == order.upstream;
    }
    entry.reduce(upstreams_listed{listing});
    cr_expect_not(
        entry.reducer.accepts_requests(order.service, order.upstream));
}

// Guards against a request that is sent to an upstream that was removed from
// the listing while the connection to it was being made.
Test(leaving_upstream, is_refused_a_connecting_request_once_not_listed)
{
    routed_entry entry;
    entry.arrive(1, "/r/x");
    start_upstream const order = *entry.find<start_upstream>();
    list_without(entry, order.upstream);
    cr_expect_not(
        entry.reducer.accepts_requests(order.service, order.upstream));
}

// Guards against a request that is sent into a zone that operators closed
// while the connection to its upstream was being made.
Test(leaving_upstream, is_refused_a_connecting_request_once_its_zone_is_closed)
{
    routed_entry entry;
    entry.arrive(1, "/r/x");
    start_upstream const order = *entry.find<start_upstream>();
    configuration_received change{2, entry.configuration};
    change.closed_zones = {
        zone_id(order.upstream.text() == "read-2" ? "z2" : "z1")};
    entry.reduce(change);
    cr_expect_not(
        entry.reducer.accepts_requests(order.service, order.upstream));
}
