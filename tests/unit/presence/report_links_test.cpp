#include "bilberrylead/presence/report_links.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace bilberrylead;
using presence::choose_report_links;

namespace
{

/// Control hosts, one in each of three zones of each region.
std::vector<link::group_host> control_hosts(std::size_t count)
{
    std::vector<link::group_host> hosts;
    hosts.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        hosts.push_back({host_id("c" + std::to_string(index)),
                         zone_id("z" + std::to_string(index)),
                         region_id("r" + std::to_string(index / 3))});
    }
    return hosts;
}

/// An entry host; they are spread over the zones of nine control hosts.
link::group_host entry_host(int number)
{
    int const zone = number % 9;
    return {host_id("e" + std::to_string(number)),
            zone_id("z" + std::to_string(zone)),
            region_id("r" + std::to_string(zone / 3))};
}

} // namespace

// Guards against entry hosts whose reports all depend on the same control host
// or, each, on the control hosts of one region.
Test(report_links, entry_hosts_have_paths_in_two_regions_and_use_all_hosts)
{
    std::vector<link::group_host> const hosts = control_hosts(9);
    std::map<host_id, std::size_t> uses;
    for (int number = 0; number < 71; ++number)
    {
        std::set<host_id> const chosen =
            choose_report_links(hosts, entry_host(number));
        cr_assert_eq(chosen.size(), 2U);
        std::set<region_id> regions;
        for (link::group_host const& host : hosts)
        {
            if (chosen.contains(host.id))
            {
                regions.insert(host.region);
                ++uses[host.id];
            }
        }
        cr_expect_eq(regions.size(), 2U);
    }
    cr_expect_eq(uses.size(), hosts.size());
    for (auto const& [host, count] : uses)
    {
        cr_expect_leq(count, 35U, "%s is a path of %zu of 71 hosts",
                      host.text().c_str(), count);
    }
}

Test(report_links, one_region_or_one_host_is_used_if_there_is_no_other)
{
    link::group_host const self = entry_host(1);
    cr_expect_eq(choose_report_links(control_hosts(3), self).size(), 2U);
    cr_expect_eq(choose_report_links(control_hosts(1), self).size(), 1U);
    cr_expect(choose_report_links({}, self).empty());
}

Test(report_links, hosts_of_unknown_regions_are_used)
{
    std::vector<link::group_host> const hosts = {{host_id("c1"), {}, {}},
                                                 {host_id("c2"), {}, {}}};
    cr_expect_eq(choose_report_links(hosts, entry_host(1)).size(), 2U);
}

// Guards against entry hosts of a cut-off zone that report to control hosts
// beyond the cut only, although one is in their zone.
Test(report_links, control_host_of_the_own_zone_is_used)
{
    std::vector<link::group_host> const hosts = control_hosts(9);
    for (int number = 0; number < 71; ++number)
    {
        cr_expect(choose_report_links(hosts, entry_host(number))
                      .contains(host_id("c" + std::to_string(number % 9))));
    }
    // The first control host, in zone z0 of region r0, has no link.
    std::vector<link::group_host> const others(hosts.begin() + 1, hosts.end());
    std::set<host_id> const chosen = choose_report_links(others, entry_host(0));
    cr_expect(chosen.contains(host_id("c1")) || chosen.contains(host_id("c2")),
              "one of the own region");
}
