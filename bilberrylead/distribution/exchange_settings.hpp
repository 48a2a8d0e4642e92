#ifndef BILBERRYLEAD_DISTRIBUTION_EXCHANGE_SETTINGS_HPP
#define BILBERRYLEAD_DISTRIBUTION_EXCHANGE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::distribution
{

/// How a process receives new revisions and passes them on.
struct exchange_settings
{
    /// True where revisions originate (control hosts). Such a process accepts
    /// none from peers, since its own log is authoritative.
    bool is_source = false;
    /// How long an announced revision may be missing before it is fetched
    /// from the peer that announced it. A push over the pushing link takes a
    /// round trip between regions (70 ms) and the transfer. A shorter time
    /// would fetch revisions that are already in flight; a longer one would
    /// use up the seconds within which a change must be in force everywhere.
    duration fetch_after = std::chrono::milliseconds(300);
    /// Interval at which subscriptions are resent. If one were lost, its
    /// sender would receive no updates until the link closes.
    duration refresh_interval = std::chrono::seconds(2);
};

} // namespace bilberrylead::distribution

#endif
