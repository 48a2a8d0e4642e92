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
    /// Maximum number of requests sent to an upstream beyond its slots. With
    /// one, the next request is already there when a slot of a full upstream
    /// comes free. Otherwise the slot is idle while the release, the grant and
    /// the request travel, about 1 ms of 20 ms even within a zone, which is
    /// all the spare capacity at 95 % of slots.
    std::uint32_t max_sent_in_advance = 1;
    /// An upstream is slow when its service time (geometric mean) is over
    /// this many times the pool's. Service times are distributed roughly as a
    /// log-normal of sigma 1: the mean of the logarithm over the last forty
    /// answers has a standard deviation of 0.16, so log(2.5) is over five
    /// deviations off. (The arithmetic mean reached 2.5 by chance, and a third
    /// of a zone's slots was idle for seconds.)
    double slow_ratio = 2.5;
    /// Interval at which a slow upstream gets one request that probes whether
    /// it still is slow, when the load does not need its slots.
    duration slow_probe_interval = std::chrono::seconds(1);
    /// Weight of one answer in an upstream's mean log service time.
    double mean_weight = 0.05;
    /// The same while the upstream is slow and receives only probes: seven
    /// answers decide, not forty.
    double probe_weight = 0.2;
    /// False treats a slow upstream like any other (for comparison).
    bool avoid_slow = true;
};

} // namespace bilberrylead::policy

#endif
