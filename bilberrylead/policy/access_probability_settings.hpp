#ifndef BILBERRYLEAD_POLICY_ACCESS_PROBABILITY_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_ACCESS_PROBABILITY_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of access_probability.
struct access_probability_settings
{
    /// Requests that all hosts together offer to a limited upstream, as a
    /// multiple of its limit. Above 1, since random arrivals leave tokens
    /// unused; this is also what the upstream gets until a loss of reports is
    /// detected.
    double offered = 1.4;
    /// The same while the reports of other hosts are late or missing.
    double cautious_offered = 0.75;
    /// How long reports count as late after the bucket was overdrawn or after
    /// reports were missing.
    duration caution_time = std::chrono::seconds(10);
    /// Time constant of the average over which demand is estimated.
    duration memory = std::chrono::seconds(20);
    /// Largest relative growth in a second. Limits the overshoot while reports
    /// are late by a few seconds.
    double max_growth_per_second = 0.15;
    /// Largest relative decrease in a second. A few requests in a row are
    /// usually chance.
    double max_decrease_per_second = 0.3;
    /// Largest relative growth in a second while reports are late or missing.
    double max_cautious_growth_per_second = 0.1;
};

} // namespace bilberrylead::policy

#endif
