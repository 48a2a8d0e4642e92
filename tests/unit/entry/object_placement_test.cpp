#include "tests/unit/entry/routed_entry.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

/// Upstream that an idle host selects for a request that names the object.
std::string first_upstream(routed_entry& host, std::uint64_t number,
                           std::string const& path, std::uint64_t object)
{
    host.arrive(number, path, object);
    std::string const upstream = host.sent_to();
    host.answer(number, 200);
    host.reduce(upstream_answer_finished{request_number{number}, {}});
    return upstream;
}

/// Number of requests, out of 50, that a host sends to another region.
int far_requests(entry_reducer& reducer, instant now)
{
    int far = 0;
    for (std::uint64_t number = 1; number <= 50; ++number)
    {
        request_arrived arrival;
        arrival.request = static_cast<request_number>(number);
        arrival.host = "a.example";
        arrival.path = "/r/x";
        effects const decided = reducer.reduce(arrival, now);
        start_upstream const* const order =
            find_effect<start_upstream>(decided);
        cr_assert_not_null(order);
        far += order->upstream == upstream_id("read-far") ? 1 : 0;
        upstream_head_received head;
        head.request = arrival.request;
        head.status = 200;
        reducer.reduce(head, now);
        reducer.reduce(upstream_answer_finished{arrival.request, {}}, now);
    }
    return far;
}

} // namespace

// Callers fetch recipes and book crews of one service, and number both from 1.
// An upstream that has recipe 7 cached does not have booking 7. If bookings
// were sent to the upstream of the recipe with the same number, each would take
// the time of an unknown object as soon as that upstream is busy with recipes.
Test(object_placement, same_name_on_two_routes_is_two_objects)
{
    routed_entry host;
    int different = 0;
    std::uint64_t number = 0;
    for (std::uint64_t object = 1; object <= 30; ++object)
    {
        std::string const fetched =
            first_upstream(host, ++number, "/fetch/x", object);
        std::string const booked =
            first_upstream(host, ++number, "/book/x", object);
        different += fetched != booked ? 1 : 0;
        cr_expect_eq(first_upstream(host, ++number, "/fetch/y", object),
                     fetched, "an object keeps its upstream");
    }
    cr_expect_gt(different, 10,
                 "of three upstreams two thirds differ by chance");
}

// Upstreams of another region were restarted, and the plan sends callers of all
// regions there. The hosts of that region share the bound for cold upstreams;
// if hosts of other regions sent requests as well, a cold upstream would
// receive the bound once more from each region and crash.
Test(object_placement, cold_upstream_of_another_region_gets_nothing)
{
    routed_entry host;
    auto listed = host.listing();
    for (discovery::listed_upstream& each : *listed)
    {
        if (each.upstream.id == upstream_id("read-far"))
        {
            each.cold_until = host.now + 3s;
        }
    }
    host.reduce(upstreams_listed{listed});
    host.reduce(regions_planned{{{service_id("read"), region_id("r2"), 1.0}}});
    for (std::uint64_t number = 1; number <= 20; ++number)
    {
        host.arrive(number, "/r/x");
        cr_expect_neq(host.sent_to(), "read-far");
        cr_expect_neq(host.sent_to(), "", "its own region has free capacity");
        host.answer(number, 200);
        host.reduce(upstream_answer_finished{request_number{number}, {}});
    }
    host.advance(3s + 1ms);
    host.arrive(100, "/r/x");
    cr_expect_eq(host.sent_to(), "read-far");
}

// A host receives the plan before any upstream of its own region. The region
// has no number yet, but must receive the remainder of the shares.
Test(object_placement, plan_may_come_before_the_own_region_is_known)
{
    routed_entry restarted_host;
    entry_reducer reducer(routed_entry::make_settings(), test_seed);
    reducer.reduce(configuration_received{1, restarted_host.configuration},
                   restarted_host.now);
    reducer.reduce(
        regions_planned{{{service_id("read"), region_id("r2"), 0.4}}},
        restarted_host.now);
    reducer.reduce(upstreams_listed{restarted_host.listing()},
                   restarted_host.now);
    int const far = far_requests(reducer, restarted_host.now);
    cr_expect_geq(far, 17);
    cr_expect_leq(far, 23, "0.4 of 50, plus the lead that a region may have");
}

// A host restarts and receives the plan before the configuration. If the plan
// were dropped, all first requests would run in the local region, where their
// objects are not cached, until the bounded pace has restored the shares.
Test(object_placement, plan_that_came_before_the_configuration_is_followed)
{
    routed_entry restarted_host;
    entry_reducer reducer(routed_entry::make_settings(), test_seed);
    reducer.reduce(
        regions_planned{{{service_id("read"), region_id("r2"), 0.4}}},
        restarted_host.now);
    reducer.reduce(configuration_received{1, restarted_host.configuration},
                   restarted_host.now);
    reducer.reduce(upstreams_listed{restarted_host.listing()},
                   restarted_host.now);
    int const far = far_requests(reducer, restarted_host.now);
    cr_expect_geq(far, 17);
    cr_expect_leq(far, 23);
}
