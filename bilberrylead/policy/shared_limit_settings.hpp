#ifndef BILBERRYLEAD_POLICY_SHARED_LIMIT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_SHARED_LIMIT_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of shared_limit.
struct shared_limit_settings
{
    /// A limit that no answer has confirmed for so long is forgotten.
    duration lifetime = std::chrono::minutes(5);
    /// Requests a second that are sent whatever the limit: without any,
    /// nobody would hear its end.
    double min_rate = 0.2;
    /// Most tokens that may be saved beyond one; never more than a second's.
    double max_saved = 2;
    /// Least that the tokens may fall to, in seconds of the limit: what was
    /// sent before the hosts knew of it is not made up for beyond that.
    double max_debt_seconds = 4;
};

} // namespace bilberrylead::policy

#endif
