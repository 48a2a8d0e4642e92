#ifndef BILBERRYLEAD_PRESENCE_CONTROL_LINK_SETTINGS_HPP
#define BILBERRYLEAD_PRESENCE_CONTROL_LINK_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::presence
{

/// Limits on the control hosts that an entry host keeps links to.
struct control_link_settings
{
    /// Largest group in which an entry host links to every control host.
    std::size_t max_fully_linked_hosts = 9;
    /// Number of links to control hosts of the local region. These hosts
    /// direct the callers of the region to the entry hosts linked to them.
    std::size_t local_region_links = 3;
    /// Number of links to control hosts of each other region. With two in
    /// different zones, the loss of one zone cuts no entry host off from a
    /// region.
    std::size_t links_per_remote_region = 2;
    /// Time without a reported leader after which an entry host links to all
    /// control hosts. Longer than an election, so that a change of leader
    /// causes no storm of connections.
    duration search_after = std::chrono::milliseconds(2500);
};

} // namespace bilberrylead::presence

#endif
