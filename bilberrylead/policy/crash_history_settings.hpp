#ifndef BILBERRYLEAD_POLICY_CRASH_HISTORY_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_CRASH_HISTORY_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::policy
{

/// Settings of crash_history.
struct crash_history_settings
{
    /// Number of upstreams that ended while running a request from which on it
    /// is restricted: it runs once at a time and without retries.
    std::size_t crashes_to_restrict = 2;
    /// Number of upstreams that ended while running a request from which on it
    /// is refused.
    std::size_t crashes_to_refuse = 3;
    /// Time after their last change for which records of requests that are not
    /// refused, including cleared ones, are kept.
    duration suspect_retention = std::chrono::minutes(2);
    /// Time after its last arrival for which the record of a refused request is
    /// kept.
    duration refused_retention = std::chrono::minutes(30);
    /// Maximum number of records; over 0. A further one evicts the record with
    /// the fewest crashes, and the oldest among these.
    std::size_t max_records = 1024;
};

} // namespace bilberrylead::policy

#endif
