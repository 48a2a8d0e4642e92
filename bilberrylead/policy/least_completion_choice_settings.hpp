#ifndef BILBERRYLEAD_POLICY_LEAST_COMPLETION_CHOICE_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_LEAST_COMPLETION_CHOICE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of completion_choice.
struct least_completion_choice_settings
{
    /// Age at which a load report counts for nothing; over 0. A slot is
    /// held for 20 ms on average, so what a report says about others' work
    /// is worth about a third after one service time and nothing after five.
    duration report_lifetime = std::chrono::milliseconds(100);
    /// What a suspected upstream is handicapped by. One second is longer
    /// than any wait that admission allows, so it comes after every healthy
    /// one, yet still before a refusal.
    duration suspicion_penalty = std::chrono::seconds(1);
};

} // namespace bilberrylead::policy

#endif
