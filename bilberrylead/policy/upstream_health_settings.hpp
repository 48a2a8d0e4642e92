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
    /// Consecutive failures that eject an upstream. With three slots, three
    /// failures mean that each slot has failed once, which points to the
    /// upstream rather than to one request.
    std::uint32_t failures_to_eject = 3;
    /// How long an ejected upstream receives no work; doubled each time that
    /// probing fails. 500 ms is the time of ten probes.
    duration base_ejection_time = std::chrono::milliseconds(500);
    /// Upper bound of the ejection time, so that a repaired upstream returns
    /// within seconds.
    duration max_ejection_time = std::chrono::seconds(8);
    /// Consecutive answers after which a probing upstream gets one more slot: a
    /// cold upstream receives one request at a time until it has answered some.
    std::uint32_t answers_per_slot = 5;
};

} // namespace bilberrylead::policy

#endif
