#include "bilberrylead/presence/report_links.hpp"

#include "bilberrylead/presence/host_rank.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace bilberrylead::presence
{

std::set<host_id>
choose_report_links(std::vector<link::group_host> const& linked_hosts,
                    host_id const& self)
{
    std::vector<std::pair<std::uint64_t, link::group_host const*>> ranked;
    ranked.reserve(linked_hosts.size());
    for (link::group_host const& host : linked_hosts)
    {
        ranked.emplace_back(host_rank(self, host.id), &host);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::set<host_id> chosen;
    std::set<region_id> regions;
    for (bool const any_region : {false, true})
    {
        for (auto const& [rank, host] : ranked)
        {
            if (chosen.size() < report_paths &&
                (regions.insert(host->region).second || any_region))
            {
                chosen.insert(host->id);
            }
        }
    }
    return chosen;
}

} // namespace bilberrylead::presence
