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
    /// Upstreams that ended under a request from which on it runs once at a
    /// time, without further tries.
    std::size_t crashes_to_restrict = 2;
    /// Upstreams that ended under a request from which on it is refused.
    std::size_t crashes_to_refuse = 3;
    /// Records of requests that are not refused, and of cleared ones, are
    /// kept for so long after their last change.
    duration suspect_retention = std::chrono::minutes(2);
    /// A refused request is forgotten so long after it came last.
    duration refused_retention = std::chrono::minutes(30);
    /// Records held; one more evicts the one with the fewest crashes, the
    /// oldest of these.
    std::size_t max_records = 1024;
};

} // namespace bilberrylead::policy

#endif
