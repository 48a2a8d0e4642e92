#ifndef BILBERRYLEAD_POLICY_SLOT_TABLE_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_SLOT_TABLE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// Settings of slot_table.
struct slot_table_settings
{
    /// Requests that may be sent to an upstream beyond its slots. One: while
    /// its slots are full, the next request is already there when a slot
    /// comes free. Otherwise the slot stands empty for the release, the
    /// grant and the request to travel, about 1 ms of 20 ms even within a
    /// zone, which is all the room there is at 95 % of slots.
    std::uint32_t max_sent_in_advance = 1;
    /// An upstream is slow when its service time (geometric mean) is over
    /// this many times the pool's. Service times are spread about as a
    /// log-normal of sigma 1: the logarithm's mean over the last forty
    /// answers strays by 0.16, so log(2.5) is over five deviations away
    /// from chance. (The plain mean reached 2.5 by chance, and a third of a
    /// zone's slots stood idle for seconds.)
    double slow_ratio = 2.5;
    /// How often a slow upstream gets one request to see whether it still
    /// is, when the load does not need it.
    duration slow_probe_interval = std::chrono::seconds(1);
    /// Weight of one answer in an upstream's mean.
    double mean_weight = 0.05;
    /// The same while it is slow and answers only probes: seven of them
    /// decide, not forty.
    double probe_weight = 0.2;
    /// False treats a slow upstream like any other (for comparison).
    bool avoid_slow = true;
};

} // namespace bilberrylead::policy

#endif
