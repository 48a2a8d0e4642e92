#ifndef BILBERRYLEAD_PRESENCE_ENTRY_TABLE_SETTINGS_HPP
#define BILBERRYLEAD_PRESENCE_ENTRY_TABLE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::presence
{

/// How a control host tracks entry hosts and returns them to callers.
struct entry_table_settings
{
    /// An entry host is not returned once its last heartbeat is this old.
    /// Three heartbeat intervals: one heartbeat may be lost and one delayed.
    duration heartbeat_timeout = std::chrono::milliseconds(1600);
    /// Upper bound from the settings on how long callers may use a reply.
    /// The shorter of `ttl` and this applies.
    duration max_ttl = std::chrono::seconds(5);
    /// How long callers may use a reply. A failed host is out of use after
    /// heartbeat_timeout plus this; a shorter time costs more look-ups.
    duration ttl = std::chrono::seconds(2);
    /// Maximum number of hosts in a reply. A caller needs a few, so that a
    /// failing host costs a retry instead of a look-up; more only make the
    /// reply longer.
    std::size_t max_hosts_per_reply = 16;
    /// Number of hosts that one without upstreams is told to pass requests on
    /// to, if they are in its region. Hosts of other regions make up for
    /// missing ones.
    std::size_t relay_hosts = 8;
    /// Minimum number of such hosts of each other region.
    std::size_t min_relay_hosts_per_region = 4;
};

} // namespace bilberrylead::presence

#endif
