#include "bilberrylead/presence/name_regions.hpp"

#include "bilberrylead/config/configuration.hpp"

#include <algorithm>

namespace bilberrylead::presence
{

name_regions::name_regions(config::configuration const& content)
{
    for (config::request_route const& route : content.request_routes)
    {
        if (route.regions.empty())
        {
            continue;
        }
        std::set<region_id> const allowed(route.regions.begin(),
                                          route.regions.end());
        auto const [entry, is_first] =
            this->regions_by_name.try_emplace(route.host, allowed);
        if (!is_first)
        {
            std::erase_if(entry->second,
                          [&allowed](region_id const& region)
                          {
                              return !allowed.contains(region);
                          });
        }
    }
}

std::optional<std::set<region_id>>
name_regions::find(std::string const& name) const
{
    auto const found = this->regions_by_name.find(name);
    return found == this->regions_by_name.end() ? std::nullopt
                                                : std::optional(found->second);
}

} // namespace bilberrylead::presence
