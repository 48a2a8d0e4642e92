#ifndef BILBERRYLEAD_CONFIG_GROUP_LOSSES_HPP
#define BILBERRYLEAD_CONFIG_GROUP_LOSSES_HPP

#include <cstdint>

namespace bilberrylead::config
{

/// What the group of control hosts must bear at once: so many hosts with
/// their disks, or so many availability zones, or so many regions.
struct group_losses
{
    /// Hosts that are lost together with their disks.
    std::uint32_t hosts = 1;
    /// Availability zones.
    std::uint32_t zones = 1;
    /// Regions.
    std::uint32_t regions = 0;

    friend bool operator==(group_losses const&, group_losses const&) = default;
};

} // namespace bilberrylead::config

#endif
