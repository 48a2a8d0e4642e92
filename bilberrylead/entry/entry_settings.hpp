#ifndef BILBERRYLEAD_ENTRY_ENTRY_SETTINGS_HPP
#define BILBERRYLEAD_ENTRY_ENTRY_SETTINGS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/retry_budget_settings.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::entry
{

/// What an entry host decides by, besides the configuration.
struct entry_settings
{
    /// This host's name in the configuration.
    host_id self;
    /// The availability zone it stands in.
    zone_id zone;
    /// Longest time between two ticks: deadlines are kept to this grain.
    duration tick = std::chrono::milliseconds(10);
    /// Share of the time left, in thousandths, that a try of an idempotent
    /// request gets before another upstream is asked; the last try gets all.
    std::uint32_t attempt_share = 500;
    /// What pays for further tries.
    policy::retry_budget_settings retry;
    /// Starts the random numbers of the choices.
    std::uint64_t seed = 1;
    /// What a caller that is turned away is told to wait.
    duration retry_after = std::chrono::seconds(1);
    /// How long a collected answer waits for its record to be durable
    /// before the caller gets it all the same. About three quorum round
    /// trips between regions 35 ms apart.
    duration record_wait = std::chrono::milliseconds(250);
    /// How long an upstream that said it is leaving gets no new work while
    /// the configuration does not say so yet.
    duration leaving_memory = std::chrono::minutes(10);
    /// How long callers may use a steering answer. Short, so that a drain
    /// is over soon; long enough that steering stays a small part of load.
    duration steering_ttl = std::chrono::seconds(5);
    /// How long a drain goes on taking requests after the last steering
    /// answer that may name this host has expired.
    duration drain_quiet = std::chrono::seconds(1);
};

} // namespace bilberrylead::entry

#endif
