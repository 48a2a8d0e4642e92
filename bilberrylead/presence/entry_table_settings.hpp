#ifndef BILBERRYLEAD_PRESENCE_ENTRY_TABLE_SETTINGS_HPP
#define BILBERRYLEAD_PRESENCE_ENTRY_TABLE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::presence
{

/// How a control host hears of entry hosts and names them to callers.
struct entry_table_settings
{
    /// An entry host that was not heard for so long is not named any more.
    /// Three heartbeats: one may get lost and one be late.
    duration heartbeat_timeout = std::chrono::milliseconds(1600);
    /// How long callers may use an answer at most, by the settings; an
    /// answer says less if `ttl` is shorter.
    duration max_ttl = std::chrono::seconds(5);
    /// How long callers may use an answer. A host that is lost is out of
    /// use after silence_limit and this; a shorter time costs look-ups.
    duration ttl = std::chrono::seconds(2);
    /// Hosts named at most. A caller needs a few, so that one that fails it
    /// costs a retry and no look-up; more only make the answer longer.
    std::size_t max_hosts_per_reply = 16;
};

} // namespace bilberrylead::presence

#endif
