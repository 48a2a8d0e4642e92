#include "tests/unit/entry/fleet_traffic.hpp"
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
