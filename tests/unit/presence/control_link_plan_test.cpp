#include "bilberrylead/presence/control_link_plan.hpp"
#include "bilberrylead/presence/control_links.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using link::group_host;
using presence::choose_control_links;
using presence::control_link_plan;

namespace
{

instant const start = instant{} + 1h;

/// Nine zones in three regions, with the given number of control hosts in
/// each zone.
std::vector<group_host> group_of(std::size_t hosts_a_zone)
{
    std::vector<group_host> hosts;
    for (std::string const region : {"a", "b", "c"})
    {
        for (std::string const zone : {"1", "2", "3"})
        {
            for (std::size_t number = 0; number < hosts_a_zone; ++number)
            {
                hosts.push_back(
                    {host_id(region + zone + "-" + std::to_string(number)),
                     zone_id(region + zone), region_id(region)});
            }
        }
    }
    return hosts;
}

host_id entry_host(std::size_t number)
{
    return host_id("e" + std::to_string(number));
}

zone_id zone_of(std::vector<group_host> const& hosts, host_id const& id)
{
    return std::find_if(hosts.begin(), hosts.end(),
                        [&id](group_host const& host)
                        {
                            return host.id == id;
                        })
        ->zone;
}

} // namespace

// Guards against overload by heartbeats: hundreds of entry hosts that each
// send two heartbeats a second to dozens of control hosts do little else.
Test(control_links, entry_host_links_few_hosts_of_a_large_group_across_zones)
{
    std::vector<group_host> const hosts = group_of(3);
    std::set<host_id> const chosen = choose_control_links(
        hosts, {entry_host(1), region_id("a"), {host_id("b2-1")}});
    cr_expect_geq(chosen.size(), 7U);
    cr_expect_leq(chosen.size(), 8U);
    cr_expect(chosen.contains(host_id("b2-1")), "the leader");
    std::map<zone_id, std::size_t> zones;
    for (host_id const& host : chosen)
    {
        ++zones[zone_of(hosts, host)];
    }
    cr_expect_eq(zones[zone_id("a1")], 1U);
    cr_expect_eq(zones[zone_id("a2")], 1U);
    cr_expect_eq(zones[zone_id("a3")], 1U);
}

Test(control_links, small_group_is_linked_completely)
{
    std::vector<group_host> const hosts = group_of(1);
    cr_expect_eq(
        choose_control_links(hosts, {entry_host(1), region_id("a"), {}}).size(),
        hosts.size());
}

// Callers query any control host of their zone and get the entry hosts that
// are linked to it. A control host with few links would direct all of its
// callers to these few.
Test(control_links, links_are_balanced_over_the_control_hosts_of_a_region)
{
    std::vector<group_host> const hosts = group_of(3);
    std::map<host_id, std::size_t> links_by_host;
    constexpr std::size_t entry_hosts = 90;
    for (std::size_t number = 0; number < entry_hosts; ++number)
    {
        for (host_id const& host : choose_control_links(
                 hosts, {entry_host(number), region_id("a"), {}}))
        {
            ++links_by_host[host];
        }
    }
    for (group_host const& host : hosts)
    {
        if (host.region == region_id("a"))
        {
            // The expected number is a third; hashing makes it vary.
            cr_expect_geq(links_by_host[host.id], entry_hosts / 6);
            cr_expect_leq(links_by_host[host.id], entry_hosts / 2);
        }
    }
}

Test(control_links, removed_host_changes_only_its_own_link)
{
    std::vector<group_host> hosts = group_of(3);
    std::set<host_id> const before =
        choose_control_links(hosts, {entry_host(7), region_id("a"), {}});
    host_id const lost = *before.begin();
    std::erase_if(hosts,
                  [&lost](group_host const& host)
                  {
                      return host.id == lost;
                  });
    std::set<host_id> const after =
        choose_control_links(hosts, {entry_host(7), region_id("a"), {}});
    std::size_t const kept =
        static_cast<std::size_t>(std::count_if(before.begin(), before.end(),
                                               [&after](host_id const& host)
                                               {
                                                   return after.contains(host);
                                               }));
    cr_expect_eq(kept, before.size() - 1);
}

Test(control_links, host_with_unknown_region_and_zone_is_linked)
{
    std::vector<group_host> hosts = group_of(3);
    hosts.push_back({host_id("new"), {}, {}});
    cr_expect(choose_control_links(hosts, {entry_host(1), region_id("a"), {}})
                  .contains(host_id("new")));
}

// The control hosts are partitioned, and all that this entry host is linked to
// are in the minority: they have no leader and accept no changes. An
// operator's change in the majority would never reach this entry host's
// callers.
Test(control_link_plan, plan_without_a_leader_links_all_control_hosts)
{
    control_link_plan plan(entry_host(1), region_id("a"));
    cr_expect(plan.is_searching(start), "no host was reported yet");
    plan.group_received(1, group_of(3));
    plan.leader_received(1, host_id("a1-0"), start);
    cr_expect_not(plan.is_searching(start));
    cr_expect_leq(plan.desired_links(start).size(), 8U);
    plan.leader_received(1, {}, start + 1s);
    cr_expect_not(plan.is_searching(start + 2s), "an election");
    cr_expect(plan.is_searching(start + 4s));
    cr_expect_eq(plan.desired_links(start + 4s).size(), 27U);
    plan.group_received(2, group_of(3));
    plan.leader_received(2, host_id("c1-0"), start + 5s);
    cr_expect_not(plan.is_searching(start + 5s));
    cr_expect(plan.desired_links(start + 5s).contains(host_id("c1-0")));
}

// After all links are lost at once, the plan must still contain hosts to
// connect to.
Test(control_link_plan, plan_keeps_the_known_hosts_after_links_close)
{
    control_link_plan plan(entry_host(1), region_id("a"));
    plan.group_received(1, group_of(3));
    plan.leader_received(1, host_id("a1-0"), start);
    plan.link_closed(1);
    cr_expect_geq(plan.desired_links(start + 1s).size(), 7U);
    cr_expect_eq(plan.desired_links(start + 4s).size(), 27U);
}
