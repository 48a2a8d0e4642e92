#ifndef BILBERRYLEAD_PRESENCE_CONTROL_LINK_SETTINGS_HPP
#define BILBERRYLEAD_PRESENCE_CONTROL_LINK_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::presence
{

/// How many control hosts an entry host keeps links to.
struct control_link_settings
{
    /// A group of up to so many hosts is linked whole.
    std::size_t max_fully_linked_hosts = 9;
    /// Links to control hosts of the own region: callers of the region are
    /// sent to the entry hosts that these hear.
    std::size_t local_region_links = 3;
    /// Links to control hosts of each other region. With two in different
    /// zones one lost zone cuts no entry host off from a region.
    std::size_t links_per_remote_region = 2;
    /// All control hosts are called once nobody has named a leader for so
    /// long: an election is over by then, so that a change of leader makes no
    /// storm of calls.
    duration search_after = std::chrono::milliseconds(2500);
};

} // namespace bilberrylead::presence

#endif
