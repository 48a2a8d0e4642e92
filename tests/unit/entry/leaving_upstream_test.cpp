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
    auto const listing = entry.listing();
    std::erase_if(*listing,
                  [&order](discovery::listed_upstream const& each)
                  {
                      return each.upstream.id == order.upstream;
                  });
    entry.reduce(upstreams_listed{listing});
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
