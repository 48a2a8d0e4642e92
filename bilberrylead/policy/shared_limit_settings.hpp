#ifndef BILBERRYLEAD_POLICY_SHARED_LIMIT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_SHARED_LIMIT_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of shared_limit.
struct shared_limit_settings
{
    /// Time after which a limit that no answer has confirmed expires.
    duration lifetime = std::chrono::minutes(5);
    /// Requests a second that are sent whatever the limit. Without any
    /// request, no host would receive the end of the limit.
    double min_rate = 0.2;
    /// Maximum number of tokens saved beyond one; never more than one second
    /// of the limit.
    double max_saved = 2;
    /// Maximum token debt, in seconds of the limit. Requests sent before the
    /// hosts received the limit are not compensated for beyond that.
    double max_debt_seconds = 4;
    /// Part of the limit that the hosts use together while it is divided among
    /// them. The rest covers the chance that several send at the same time.
    double divided_part = 2.0 / 3;
};

} // namespace bilberrylead::policy

#endif
