#include "bilberrylead/presence/entry_table.hpp"

#include "bilberrylead/core/process_seed.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using presence::entry_table;
using presence::steering_query;
using presence::steering_reply;

namespace
{

instant const start = instant{} + 1h;
process_seed const test_seed(host_id("c1"), 1);

link::entry_presence ready_host(std::uint16_t port, std::string const& region)
{
    link::entry_presence heartbeat;
    heartbeat.address = {"127.0.0.1", port};
    heartbeat.region = region_id(region);
    heartbeat.ready = true;
    return heartbeat;
}

steering_query query_from(std::string const& region)
{
    steering_query query;
    query.region = region_id(region);
    query.zone = zone_id("z");
    return query;
}

} // namespace

Test(entry_table, caller_is_sent_to_the_hosts_of_its_region)
{
    entry_table table({}, test_seed);
    table.record_heartbeat(1, host_id("e1"), ready_host(1, "near"), start);
    table.record_heartbeat(2, host_id("e2"), ready_host(2, "far"), start);
    steering_reply const reply = table.reply_to(query_from("near"), start);
    cr_assert_eq(reply.entry_hosts.size(), 1U);
    cr_expect_eq(reply.entry_hosts.front().port, 1);
}

Test(entry_table, region_without_hosts_is_served_by_the_others)
{
    entry_table table({}, test_seed);
    table.record_heartbeat(2, host_id("e2"), ready_host(2, "far"), start);
    cr_expect_eq(table.reply_to(query_from("near"), start).entry_hosts.size(),
                 1U);
}

// A host is frozen or cut off: its link stays open but delivers no heartbeats.
// Callers that are still directed to the host lose their requests.
Test(entry_table, host_without_recent_heartbeats_is_not_listed)
{
    entry_table table({}, test_seed);
    table.record_heartbeat(1, host_id("e1"), ready_host(1, "near"), start);
    cr_expect_eq(
        table.reply_to(query_from("near"), start + 1s).entry_hosts.size(), 1U);
    cr_expect(
        table.reply_to(query_from("near"), start + 2s).entry_hosts.empty());
}

Test(entry_table, disconnected_host_is_not_listed)
{
    entry_table table({}, test_seed);
    table.record_heartbeat(1, host_id("e1"), ready_host(1, "near"), start);
    table.remove_link(1);
    cr_expect(table.reply_to(query_from("near"), start).entry_hosts.empty());
}

// A host has restarted and opened a new link before the old one is reported
// closed. Closing the old link must not remove the host.
Test(entry_table, closing_an_older_link_keeps_the_host_listed)
{
    entry_table table({}, test_seed);
    table.record_heartbeat(1, host_id("e1"), ready_host(1, "near"), start);
    table.record_heartbeat(2, host_id("e1"), ready_host(1, "near"), start);
    table.remove_link(1);
    cr_expect_eq(table.reply_to(query_from("near"), start).entry_hosts.size(),
                 1U);
}

Test(entry_table, stopping_or_unready_host_is_not_listed)
{
    entry_table table({}, test_seed);
    link::entry_presence stopping = ready_host(1, "near");
    stopping.stopping = true;
    link::entry_presence starting = ready_host(2, "near");
    starting.ready = false;
    table.record_heartbeat(1, host_id("e1"), stopping, start);
    table.record_heartbeat(2, host_id("e2"), starting, start);
    cr_expect(table.reply_to(query_from("near"), start).entry_hosts.empty());
    cr_expect_eq(table.ready_hosts(start), 0U);
}

// A region has more hosts than fit into a reply. Without rotation the last
// hosts by name would never get a caller, and the first ones would get all.
Test(entry_table, many_hosts_are_listed_equally_often)
{
    constexpr std::uint16_t hosts = 40;
    entry_table table({}, test_seed);
    for (std::uint16_t port = 1; port <= hosts; ++port)
    {
        table.record_heartbeat(port, host_id("e" + std::to_string(port)),
                               ready_host(port, "near"), start);
    }
    std::map<std::uint16_t, int> named;
    for (int count = 0; count < 100; ++count)
    {
        steering_reply const reply = table.reply_to(query_from("near"), start);
        cr_assert_eq(reply.entry_hosts.size(), 16U);
        for (config::endpoint const& host : reply.entry_hosts)
        {
            ++named[host.port];
        }
    }
    cr_assert_eq(named.size(), hosts);
    for (auto const& [port, count] : named)
    {
        cr_expect_eq(count, 40, "port %u", unsigned{port});
    }
}

// Guards against control hosts that all begin their replies at the same entry
// host: the first callers, which query any of them, would all be directed to
// the same few entry hosts.
Test(entry_table, control_hosts_list_different_entry_hosts_first)
{
    constexpr std::uint16_t hosts = 40;
    constexpr int control_hosts = 27;
    std::map<std::uint16_t, int> named_first;
    for (int place = 0; place < control_hosts; ++place)
    {
        entry_table table(
            {}, process_seed(host_id("c" + std::to_string(place)), 1));
        for (std::uint16_t port = 1; port <= hosts; ++port)
        {
            table.record_heartbeat(port, host_id("e" + std::to_string(port)),
                                   ready_host(port, "near"), start);
        }
        ++named_first[table.reply_to(query_from("near"), start)
                          .entry_hosts.front()
                          .port];
    }
    cr_expect_geq(named_first.size(), 13U, "about 20 if drawn at random");
}

Test(entry_table, reply_ttl_does_not_exceed_the_maximum)
{
    presence::entry_table_settings settings;
    settings.max_ttl = 700ms;
    entry_table table(settings, test_seed);
    cr_expect(table.reply_to(query_from("near"), start).ttl == 700ms);
}

// Eight hosts are in one region and one in each of two others. If a limit on
// the large region's hosts were divided by a third of the ten hosts, it would
// be exceeded more than twofold.
Test(entry_table, max_ready_hosts_counts_the_largest_region)
{
    entry_table table({}, test_seed);
    for (std::uint16_t number = 1; number <= 8; ++number)
    {
        table.record_heartbeat(number, host_id("e" + std::to_string(number)),
                               ready_host(number, "large"), start);
    }
    table.record_heartbeat(9, host_id("e9"), ready_host(9, "small"), start);
    table.record_heartbeat(10, host_id("e10"), ready_host(10, "other"), start);
    cr_expect_eq(table.ready_hosts(start), 10U);
    cr_expect_eq(table.max_ready_hosts_per_region(start), 8U);
    cr_expect_eq(table.max_ready_hosts_per_region(start + 1h), 0U);
}

// Guards against callers that are sent to a host which reaches no upstream
// while others do.
Test(entry_table, host_without_upstreams_is_listed_only_if_there_is_no_other)
{
    entry_table table({}, test_seed);
    table.record_heartbeat(1, host_id("e1"), ready_host(1, "near"), start);
    table.record_heartbeat(2, host_id("e2"), ready_host(2, "far"), start);
    table.record_contact(host_id("e1"), true);
    steering_reply reply = table.reply_to(query_from("near"), start);
    cr_assert_eq(reply.entry_hosts.size(), 1U);
    cr_expect_eq(reply.entry_hosts.front().port, 2);
    table.record_contact(host_id("e2"), true);
    reply = table.reply_to(query_from("near"), start);
    cr_expect_eq(reply.entry_hosts.size(), 2U);
    table.record_contact(host_id("e1"), false);
    reply = table.reply_to(query_from("near"), start);
    cr_assert_eq(reply.entry_hosts.size(), 1U);
    cr_expect_eq(reply.entry_hosts.front().port, 1);
}

// Guards against a host that is never listed again since it was replaced while
// it reached no upstream.
Test(entry_table, disconnected_host_without_upstreams_is_listed_again)
{
    entry_table table({}, test_seed);
    table.record_heartbeat(1, host_id("e1"), ready_host(1, "near"), start);
    table.record_contact(host_id("e1"), true);
    table.remove_link(1);
    table.record_heartbeat(3, host_id("e1"), ready_host(1, "near"), start);
    table.record_heartbeat(2, host_id("e2"), ready_host(2, "near"), start);
    cr_expect_eq(table.reply_to(query_from("near"), start).entry_hosts.size(),
                 2U);
}

Test(entry_table, relay_hosts_are_near_first_and_reach_upstreams)
{
    entry_table table({}, test_seed);
    for (std::uint16_t port = 1; port <= 20; ++port)
    {
        table.record_heartbeat(port, host_id("e" + std::to_string(port)),
                               ready_host(port, port <= 5 ? "near" : "far"),
                               start);
    }
    table.record_contact(host_id("e2"), true);
    std::vector<link::relay_host> const hosts =
        table.relay_hosts_for(host_id("e1"), start).hosts;
    cr_assert_eq(hosts.size(), 8U);
    for (std::size_t place = 0; place < hosts.size(); ++place)
    {
        cr_expect(hosts[place].region == region_id(place < 3 ? "near" : "far"));
        cr_expect(hosts[place].id != host_id("e1"));
        cr_expect(hosts[place].id != host_id("e2"));
    }
    cr_expect(table.relay_hosts_for(host_id("e1"), start + 2s).hosts.empty(),
              "hosts without heartbeats");
}

// Guards against all hosts without upstreams that pass their requests on to the
// same few others.
Test(entry_table, relay_hosts_differ_between_hosts)
{
    entry_table table({}, test_seed);
    for (std::uint16_t port = 1; port <= 40; ++port)
    {
        table.record_heartbeat(port, host_id("e" + std::to_string(port)),
                               ready_host(port, "near"), start);
    }
    std::set<host_id> all;
    for (int number = 1; number <= 10; ++number)
    {
        host_id const host("e" + std::to_string(number));
        for (link::relay_host const& each :
             table.relay_hosts_for(host, start).hosts)
        {
            all.insert(each.id);
        }
    }
    cr_expect_gt(all.size(), 24U);
}

namespace
{

/// 71 entry hosts in three regions, as control hosts list them: e0, e3, ... in
/// r0, and so on.
struct three_regions
{
    three_regions()
    {
        for (std::uint16_t number = 0; number < 71; ++number)
        {
            this->table.record_heartbeat(
                number, host_id("e" + std::to_string(number)),
                ready_host(number, "r" + std::to_string(number % 3)), start);
        }
    }

    /// Lets all hosts of a region report that they reach no upstream.
    void cut(unsigned region)
    {
        for (unsigned number = region; number < 71; number += 3)
        {
            this->table.record_contact(host_id("e" + std::to_string(number)),
                                       true);
        }
    }

    /// Numbers of the regions whose hosts callers from r0 are sent to.
    std::set<unsigned> regions_for(std::set<region_id> const& allowed)
    {
        std::set<unsigned> regions;
        for (int count = 0; count < 10; ++count)
        {
            steering_query query = query_from("r0");
            query.permitted_regions = allowed;
            for (config::endpoint const& host :
                 this->table.reply_to(query, start).entry_hosts)
            {
                regions.insert(host.port % 3U);
            }
        }
        return regions;
    }

    entry_table table{{}, test_seed};
};

} // namespace

// Guards against callers that are sent to a region in which their requests must
// not be received, while the hosts of their own region reach no upstreams.
Test(steering_without_upstreams,
     region_without_upstreams_uses_permitted_regions)
{
    three_regions hosts;
    hosts.cut(0);
    cr_expect(hosts.regions_for({region_id("r2")}) == std::set<unsigned>{2});
    cr_expect(hosts.regions_for({region_id("r1"), region_id("r2")}) ==
              std::set<unsigned>({1, 2}));
}

// Guards against callers that leave their region although its hosts can pass
// their requests on and no other region may receive them.
Test(steering_without_upstreams, own_region_is_used_if_no_other_is_allowed)
{
    three_regions hosts;
    hosts.cut(0);
    cr_expect(hosts.regions_for({region_id("r0")}) == std::set<unsigned>{0});
    cr_expect(hosts.regions_for({}) == std::set<unsigned>{0});
    hosts.cut(2);
    cr_expect(hosts.regions_for({region_id("r2")}) ==
              std::set<unsigned>({0, 2}));
}

// Guards against callers that receive no host at all.
Test(steering_without_upstreams, other_regions_are_used_if_there_is_no_host)
{
    entry_table table({}, test_seed);
    table.record_heartbeat(1, host_id("e1"), ready_host(1, "far"), start);
    steering_query query = query_from("near");
    query.permitted_regions.emplace();
    cr_expect_eq(table.reply_to(query, start).entry_hosts.size(), 1U);
}

// Guards against a host that learns of no host of the region to which requests
// are bound, since its own region has many.
Test(relay_hosts, include_hosts_of_every_region)
{
    three_regions hosts;
    hosts.table.record_contact(host_id("e0"), true);
    std::map<region_id, std::size_t> count;
    std::vector<link::relay_host> const list =
        hosts.table.relay_hosts_for(host_id("e0"), start).hosts;
    for (link::relay_host const& host : list)
    {
        ++count[host.region];
    }
    cr_expect_eq(count[region_id("r0")], 8U);
    cr_expect_eq(count[region_id("r1")], 4U);
    cr_expect_eq(count[region_id("r2")], 4U);
    for (std::size_t place = 0; place < 8 && place < list.size(); ++place)
    {
        cr_expect(list[place].region == region_id("r0"), "its own come first");
    }
}

// Guards against hosts without upstreams that all use the same other region
// first.
Test(relay_hosts, follow_by_region_in_different_order)
{
    three_regions hosts;
    hosts.cut(0);
    std::set<region_id> first;
    for (unsigned number = 0; number < 71; number += 3)
    {
        std::vector<link::relay_host> const list =
            hosts.table
                .relay_hosts_for(host_id("e" + std::to_string(number)), start)
                .hosts;
        cr_assert_eq(list.size(), 8U);
        first.insert(list.front().region);
        cr_expect(list.front().region == list[3].region);
    }
    cr_expect_eq(first.size(), 2U);
}
