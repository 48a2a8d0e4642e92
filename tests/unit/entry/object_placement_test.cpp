#include "tests/unit/entry/routed_entry.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

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

namespace
{

/// A host whose objects have their homes in its zone z1, with two of the three
/// upstreams of its region there, after requests for 20 objects.
struct zone_homes_entry : routed_entry
{
    zone_homes_entry()
    {
        entry_settings settings = make_settings();
        settings.placement.homes = config::object_homes::zone;
        settings.placement.zone_crossing_cost = 30ms;
        settings.placement.remembered_objects = 48;
        this->host = std::make_unique<entry_reducer>(settings, test_seed);
        this->play(configuration_received{1, this->configuration});
        this->play(upstreams_listed{this->listing()});
        this->play(entry_hosts_counted{4, 4});
    }

    void play(event const& event)
    {
        effects const decided = this->host->reduce(event, this->now);
        for (effect const& each : decided)
        {
            if (home_scope_changed const* const changed =
                    std::get_if<home_scope_changed>(&each))
            {
                this->changes.push_back(*changed);
            }
            else if (start_upstream const* const order =
                         std::get_if<start_upstream>(&each))
            {
                this->sent.insert(order->upstream.text());
            }
        }
    }

    /// Plays that many requests for 20 objects and returns the upstreams that
    /// received them.
    std::set<std::string> request_objects(int requests)
    {
        this->sent.clear();
        for (int count = 0; count < requests; ++count)
        {
            ++this->last_number;
            request_arrived arrival;
            arrival.request = static_cast<request_number>(this->last_number);
            arrival.object = 1 + this->last_number * 7 % 20;
            arrival.host = "a.example";
            arrival.path = "/fetch/x";
            this->play(arrival);
            this->now += 50ms;
            upstream_head_received head;
            head.request = arrival.request;
            head.status = 200;
            this->play(head);
            this->play(upstream_answer_finished{arrival.request, {}});
            this->play(tick{});
        }
        return this->sent;
    }

    std::unique_ptr<entry_reducer> host;
    std::vector<home_scope_changed> changes;
    std::set<std::string> sent;
    std::uint64_t last_number = 0;
};

} // namespace

// Objects fit the caches of the own zone. Guards against responses that cross
// between zones, and against a change of the scope that nobody sees.
Test(object_placement, objects_have_their_homes_in_the_zone_if_it_caches_them)
{
    zone_homes_entry entry;
    cr_expect_eq(entry.request_objects(50).count("read-2"), 1U,
                 "a host that knows nothing uses the region");
    entry.request_objects(100);
    cr_assert_eq(entry.changes.size(), 1U);
    home_scope_changed const& changed = entry.changes.front();
    cr_expect_eq(changed.service.text(), "read");
    cr_expect(changed.status.scope == config::object_homes::zone);
    cr_expect_eq(changed.status.distinct_objects, 20);
    cr_expect_eq(changed.status.zone_upstreams, 2U);
    cr_expect_eq(changed.status.region_upstreams, 3U,
                 "read-far is in another region");
    service_counters const before =
        entry.host->counters().services.at(service_id("read"));
    cr_expect_gt(before.crossed_zones, 0U);
    cr_expect_eq(before.crossed_regions, 0U);
    cr_expect(before.has_zone_homes);
    cr_expect_eq(entry.request_objects(200).count("read-2"), 0U);
    cr_expect_eq(
        entry.host->counters().services.at(service_id("read")).crossed_zones,
        before.crossed_zones);
}

// All upstreams of the own zone disappear from the list and return.
Test(object_placement, zone_without_upstreams_uses_the_region_until_they_return)
{
    zone_homes_entry entry;
    entry.request_objects(200);
    cr_assert_eq(entry.changes.size(), 1U);
    auto remaining = entry.listing();
    std::erase_if(*remaining,
                  [](discovery::listed_upstream const& each)
                  {
                      return each.upstream.zone == zone_id("z1");
                  });
    entry.play(upstreams_listed{remaining});
    cr_expect_eq(entry.request_objects(20).count("read-2"), 1U);
    cr_assert_eq(entry.changes.size(), 2U);
    cr_expect(entry.changes.back().status.scope ==
              config::object_homes::region);
    entry.play(upstreams_listed{entry.listing()});
    entry.request_objects(900);
    cr_assert_eq(entry.changes.size(), 3U);
    cr_expect(entry.changes.back().status.scope == config::object_homes::zone);
    cr_expect_eq(entry.request_objects(100).count("read-2"), 0U);
}

// The settings are not given: no decision, log line or metric of homes.
Test(object_placement, homes_of_the_region_are_the_default)
{
    routed_entry host;
    std::set<std::string> used;
    for (std::uint64_t number = 1; number <= 200; ++number)
    {
        used.insert(first_upstream(host, number, "/fetch/x", 1 + number % 20));
        host.advance(50ms);
        cr_expect_null(host.find<home_scope_changed>());
    }
    cr_expect_eq(used.size(), 3U);
    cr_expect_not(host.reducer.counters()
                      .services.at(service_id("read"))
                      .distinct_objects.has_value());
}
