#include "bilberrylead/presence/report_links.hpp"

#include "bilberrylead/presence/host_rank.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace bilberrylead::presence
{

std::set<host_id>
choose_report_links(std::vector<link::group_host> const& linked_hosts,
                    link::group_host const& self)
{
    struct ranked_host
    {
        bool is_in_zone = false;
        bool is_in_region = false;
        std::uint64_t rank = 0;
        link::group_host const* host = nullptr;
    };
    std::vector<ranked_host> ranked;
    ranked.reserve(linked_hosts.size());
    for (link::group_host const& host : linked_hosts)
    {
        ranked.push_back({host.zone == self.zone, host.region == self.region,
                          host_rank(self.id, host.id), &host});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](ranked_host const& one, ranked_host const& other)
              {
                  return std::tie(one.is_in_zone, one.is_in_region, one.rank) >
                         std::tie(other.is_in_zone, other.is_in_region,
                                  other.rank);
              });
    std::set<host_id> chosen;
    std::set<region_id> regions;
    for (bool const any_region : {false, true})
    {
        for (ranked_host const& each : ranked)
        {
            if (chosen.size() < report_paths &&
                (regions.insert(each.host->region).second || any_region))
            {
                chosen.insert(each.host->id);
            }
        }
    }
    return chosen;
}

} // namespace bilberrylead::presence
