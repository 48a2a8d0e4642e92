#include "tests/unit/entry/fleet_traffic.hpp"
#include "tests/unit/entry/upstream_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <set>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// A request that was on its way when the upstream answered may still arrive.
constexpr duration grace = 100ms;
constexpr duration rest = 3s;
constexpr std::size_t fleet_sizes[] = {2, 11, 71, 300};
/// Requests per second to each host.
constexpr double rate_of_host = 4;

double rate_of(std::size_t hosts)
{
    return rate_of_host * static_cast<double>(hosts);
}

/// Enough upstreams for the traffic, of which the first refuses and asks for
/// rest.
upstream_fleet make_fleet(std::size_t hosts)
{
    upstream_fleet fleet(
        {.hosts = hosts, .upstreams = 3 + hosts / 2, .rest = rest});
    send_requests(fleet, rate_of(hosts), 2s);
    fleet.set_refusing(true);
    return fleet;
}

} // namespace

// Guards against hosts that go on sending requests to an upstream that refused
// one and asked for a rest.
Test(resting_upstream, receives_no_request_of_a_host_that_it_asked_for_rest)
{
    for (std::size_t const hosts : fleet_sizes)
    {
        upstream_fleet fleet = make_fleet(hosts);
        send_requests(fleet, rate_of(hosts), 8s);
        cr_expect_eq(fleet.sent_during_rest(grace), 0U,
                     "%zu hosts: %zu requests during the rest", hosts,
                     fleet.sent_during_rest(grace));
    }
}

// Guards against a rest that never ends.
Test(resting_upstream, receives_requests_again_after_its_rest)
{
    upstream_fleet fleet = make_fleet(11);
    send_requests(fleet, rate_of(11), 2s);
    fleet.set_refusing(false);
    send_requests(fleet, rate_of(11), rest + 1s);
    instant const begin = fleet.now;
    send_requests(fleet, rate_of(11), 2s);
    cr_expect_gt(fleet.limited_since(begin), 2U, "%zu requests in 2 s",
                 fleet.limited_since(begin));
}

// Guards against the rest of an incarnation that has ended: the next one has
// asked for nothing.
Test(resting_upstream, next_incarnation_owes_no_rest)
{
    for (bool const keeps_ids : {false, true})
    {
        upstream_fleet fleet({.hosts = 2,
                              .upstreams = 3,
                              .restart = 500ms,
                              .keeps_ids = keeps_ids,
                              .listing_lag = 100ms,
                              .rest = 60s});
        send_requests(fleet, 40, 2s);
        fleet.set_refusing(true);
        send_requests(fleet, 40, 2s);
        fleet.end_upstream(0);
        fleet.set_refusing(false);
        send_requests(fleet, 40, 1s);
        instant const begin = fleet.now;
        send_requests(fleet, 40, 4s);
        cr_expect_gt(fleet.limited_since(begin), 10U, "%zu requests in 4 s",
                     fleet.limited_since(begin));
    }
}

// Guards against a wave of requests of all hosts at the end of a rest.
Test(resting_upstream, starts_with_one_request_of_a_host_after_its_rest)
{
    upstream_fleet fleet(
        {.hosts = 1, .upstreams = 1, .run = 100ms, .rest = 1s});
    fleet.set_refusing(true);
    fleet.arrive(0, 3);
    fleet.run_for(100ms);
    fleet.set_refusing(false);
    instant const begin = fleet.now;
    for (int step = 0; step < 160; ++step)
    {
        fleet.arrive(0, static_cast<std::uint64_t>(2 * step) + 5);
        fleet.run_for(10ms);
        if (fleet.max_running_of_one_host(begin) > 0)
        {
            break;
        }
    }
    fleet.arrive(0, 1001);
    fleet.arrive(0, 1003);
    fleet.run_for(10ms);
    cr_expect_eq(fleet.max_running_of_one_host(begin), 1U);
}

// Guards against callers that wait in vain, or all come back in one instant,
// while every upstream rests.
Test(resting_upstream, callers_are_refused_at_once_until_the_earliest_end)
{
    upstream_fleet fleet({.hosts = 1, .upstreams = 1, .rest = rest});
    fleet.set_refusing(true);
    fleet.arrive(0, 3);
    fleet.run_for(500ms);
    std::size_t const refused_before = fleet.retry_times().size();
    constexpr std::size_t callers = 20;
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        fleet.arrive(0, 2 * caller + 5);
    }
    std::vector<duration> const retry_times(
        fleet.retry_times().begin() +
            static_cast<std::ptrdiff_t>(refused_before),
        fleet.retry_times().end());
    cr_assert_eq(retry_times.size(), callers, "%zu refused",
                 retry_times.size());
    for (duration const retry_after : retry_times)
    {
        cr_expect(retry_after >= rest - 600ms && retry_after <= 2 * rest);
    }
    std::set<duration> const distinct(retry_times.begin(), retry_times.end());
    cr_expect_gt(distinct.size(), callers / 2);
}
