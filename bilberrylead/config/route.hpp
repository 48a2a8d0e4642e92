#ifndef BILBERRYLEAD_CONFIG_ROUTE_HPP
#define BILBERRYLEAD_CONFIG_ROUTE_HPP

#include "bilberrylead/core/ids.hpp"

#include <vector>

namespace bilberrylead::config
{

struct upstream;

/// Upstreams of one route in one availability zone.
struct route_zone
{
    /// The zone.
    zone_id zone;
    /// Its region.
    region_id region;
    /// The upstreams by name, leaving ones too: who chooses passes them by.
    std::vector<upstream const*> upstreams;
};

/// All upstreams that one class of callers may reach, by zone's name.
/// Owned by `routes`, as is what it points to.
struct route
{
    /// Only zones with at least one upstream.
    std::vector<route_zone> zones;
};

} // namespace bilberrylead::config

#endif
