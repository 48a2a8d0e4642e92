#ifndef BILBERRYLEAD_POLICY_UPSTREAM_HEALTH_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_HEALTH_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// Settings of upstream_health.
struct upstream_health_settings
{
    /// Failures in a row that eject. Three: its three slots have each seen
    /// one, so it is the upstream and not one request.
    std::uint32_t failures_to_eject = 3;
    /// How long an ejected upstream gets no work; doubles each time that
    /// its return fails. Ten probes' time.
    duration base_ejection_time = std::chrono::milliseconds(500);
    /// Longest such pause, so that a repaired upstream is back in seconds.
    duration max_ejection_time = std::chrono::seconds(8);
    /// Answers in a row for each further slot on its return: a cold start
    /// meets one request at a time until it has answered some.
    std::uint32_t answers_per_slot = 5;
};

} // namespace bilberrylead::policy

#endif
