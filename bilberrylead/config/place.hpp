#ifndef BILBERRYLEAD_CONFIG_PLACE_HPP
#define BILBERRYLEAD_CONFIG_PLACE_HPP

#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::config
{

/// An availability zone and the region it belongs to.
struct place
{
    /// The availability zone, unique in the configuration.
    zone_id zone;
    /// Its region.
    region_id region;
    /// What selectors match.
    config::labels labels;

    friend bool operator==(place const&, place const&) = default;
};

} // namespace bilberrylead::config

#endif
