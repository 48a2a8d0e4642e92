#ifndef BILBERRYLEAD_PRESENCE_NAME_REGIONS_HPP
#define BILBERRYLEAD_PRESENCE_NAME_REGIONS_HPP

#include "bilberrylead/core/ids.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace bilberrylead::config
{
struct configuration;
}

namespace bilberrylead::presence
{

/// The regions in which entry hosts may receive every request of a host name,
/// by the routes of one configuration. Regions that customers are bound to are
/// not included, since a steering query names no customer.
class name_regions
{
public:
    /// Makes the regions of a configuration without routes.
    name_regions() = default;

    /// Makes the regions by the routes of `content`, which is not kept.
    explicit name_regions(config::configuration const& content);

    /// Returns the regions that all routes of the host name allow, which may be
    /// none; nothing if no route of the name is bound to regions.
    std::optional<std::set<region_id>> find(std::string const& name) const;

private:
    std::map<std::string, std::set<region_id>> regions_by_name;
};

} // namespace bilberrylead::presence

#endif
