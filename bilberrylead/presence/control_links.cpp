#include "bilberrylead/presence/control_links.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace bilberrylead::presence
{

namespace
{

/// A control host with its rank for one entry host.
struct ranked_host
{
    std::uint64_t rank = 0;
    host_id id;
    zone_id zone;
    /// Hosts of the same zone with a higher rank.
    std::size_t round = 0;
};

std::uint64_t rank_of(host_id const& self, host_id const& other)
{
    std::hash<host_id> const hash;
    return policy::generator(hash(self)).next() ^ hash(other);
}

/// The hosts of one region in the order in which they are chosen: the first
/// of each zone, then the second of each, and so on.
std::vector<ranked_host> in_order(std::vector<link::group_host> const& hosts,
                                  region_id const& region, host_id const& self)
{
    std::vector<ranked_host> ranked;
    for (link::group_host const& each : hosts)
    {
        if (each.region == region)
        {
            std::uint64_t const mixed =
                policy::generator(rank_of(self, each.id)).next();
            ranked.push_back({mixed, each.id, each.zone, 0});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](ranked_host const& one, ranked_host const& other)
              {
                  return one.rank > other.rank;
              });
    std::map<zone_id, std::size_t> taken;
    for (ranked_host& each : ranked)
    {
        each.round = taken[each.zone]++;
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
                     control_link_question const& question,
                     control_link_settings const& settings)
{
    std::set<host_id> chosen;
    std::set<region_id> regions;
    for (link::group_host const& each : hosts)
    {
        regions.insert(each.region);
        // A host whose place is not told yet may be the only one of its
        // region.
        bool const is_linked = hosts.size() <= settings.most_linked_whole ||
                               each.region.empty() ||
                               question.leaders.contains(each.id);
        if (is_linked)
        {
            chosen.insert(each.id);
        }
    }
    for (region_id const& region : regions)
    {
        std::vector<ranked_host> const ranked =
            in_order(hosts, region, question.self);
        std::size_t const wanted = region == question.region
                                       ? settings.in_own_region
                                       : settings.in_other_regions;
        for (std::size_t place = 0; place < std::min(wanted, ranked.size());
             ++place)
        {
            chosen.insert(ranked[place].id);
        }
    }
    return chosen;
}

} // namespace bilberrylead::presence
