#ifndef BILBERRYLEAD_DISTRIBUTION_EXCHANGE_SETTINGS_HPP
#define BILBERRYLEAD_DISTRIBUTION_EXCHANGE_SETTINGS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <set>

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
    /// How long a process without a revision waits for further answers after
    /// the first one, and then again for a newer revision that was announced
    /// meanwhile. It does not wait for answers once one came from a control
    /// host that names a leader, or a majority of the control hosts has
    /// answered. Zero: the first revision received is put in force.
    duration first_revision_wait{};
    /// Control hosts of the group, until one of them reports the group; empty
    /// if unknown. Used with `first_revision_wait` only.
    std::set<host_id> control_hosts;
};

} // namespace bilberrylead::distribution

#endif
