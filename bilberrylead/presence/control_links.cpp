#include "bilberrylead/presence/control_links.hpp"

#include "bilberrylead/presence/host_rank.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace bilberrylead::presence
{

namespace
{

/// A control host and its rank for one entry host.
struct ranked_host
{
    std::uint64_t rank = 0;
    host_id id;
    zone_id zone;
    /// Number of hosts of the same zone that have a higher rank.
    std::size_t round = 0;
};

/// The hosts of one region in the order in which they are selected: the first
/// of each zone, then the second of each zone, and so on.
std::vector<ranked_host>
selection_order(std::vector<link::group_host> const& hosts,
                region_id const& region, host_id const& self)
{
    std::vector<ranked_host> ranked;
    for (link::group_host const& host : hosts)
    {
        if (host.region == region)
        {
            ranked.push_back({host_rank(self, host.id), host.id, host.zone, 0});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](ranked_host const& one, ranked_host const& other)
              {
                  return one.rank > other.rank;
              });
    std::map<zone_id, std::size_t> count_by_zone;
    for (ranked_host& host : ranked)
    {
        host.round = count_by_zone[host.zone]++;
    }
    std::sort(ranked.begin(), ranked.end(),
              [](ranked_host const& one, ranked_host const& other)
              {
                  return std::tie(one.round, other.rank) <
                         std::tie(other.round, one.rank);
              });
    return ranked;
}

} // namespace

std::set<host_id>
choose_control_links(std::vector<link::group_host> const& hosts,
                     control_link_query const& query,
                     control_link_settings const& settings)
{
    std::set<host_id> chosen;
    std::set<region_id> regions;
    for (link::group_host const& host : hosts)
    {
        regions.insert(host.region);
        // A host that has not reported its region yet may be the only one of
        // that region.
        bool const is_linked =
            hosts.size() <= settings.max_fully_linked_hosts ||
            host.region.empty() || query.leaders.contains(host.id);
        if (is_linked)
        {
            chosen.insert(host.id);
        }
    }
    for (region_id const& region : regions)
    {
        std::vector<ranked_host> const ranked =
            selection_order(hosts, region, query.self);
        std::size_t const wanted = region == query.region
                                       ? settings.local_region_links
                                       : settings.links_per_remote_region;
        for (std::size_t place = 0; place < std::min(wanted, ranked.size());
             ++place)
        {
            chosen.insert(ranked[place].id);
        }
    }
    return chosen;
}

} // namespace bilberrylead::presence
