#ifndef BILBERRYLEAD_POLICY_LEAST_COMPLETION_CHOICE_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_LEAST_COMPLETION_CHOICE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of least_completion_choice.
struct least_completion_choice_settings
{
    /// Age at which a load report is ignored; over 0. A request holds a slot
    /// for 20 ms on average, so that a report on the requests of other entry
    /// hosts has about a third of its value after one service time and none
    /// after five.
    duration report_lifetime = std::chrono::milliseconds(100);
    /// Added to the expected completion time of a suspected upstream. One
    /// second is longer than any wait that admission allows, so that every
    /// healthy upstream is preferred, but a suspected one is still preferred to
    /// a refusal.
    duration suspicion_penalty = std::chrono::seconds(1);
};

} // namespace bilberrylead::policy

#endif
