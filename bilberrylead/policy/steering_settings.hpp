#ifndef BILBERRYLEAD_POLICY_STEERING_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_STEERING_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of steering_policy.
struct steering_settings
{
    /// Time that clients may keep an answer while there is much room. Half
    /// a minute: a caller asks again a few times in a minute at most.
    duration longest_ttl = std::chrono::seconds(30);
    /// The same where there is none, so that callers can be led elsewhere
    /// within seconds.
    duration shortest_ttl = std::chrono::seconds(3);
    /// Share of a zone's slots free at which the longest time is given.
    double ample_room = 0.3;
    /// Slots that one caller's answer counts as before its requests show
    /// in the zone's load. One karaoke app asks a few times a second for
    /// 20 ms each: a twentieth of a slot.
    double slots_per_answer = 0.05;
    /// Time until handed-out callers show in the reports.
    duration report_lag = std::chrono::seconds(1);
    /// Least weight of a zone in the region that serves the caller: its
    /// queue refuses what does not fit, and a weight of zero for all would
    /// leave the caller without an answer.
    double least_weight = 0.01;
    /// False forgets what was handed out (for comparison).
    bool count_handed_out = true;
};

} // namespace bilberrylead::policy

#endif
