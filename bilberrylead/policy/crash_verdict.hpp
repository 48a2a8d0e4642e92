#ifndef BILBERRYLEAD_POLICY_CRASH_VERDICT_HPP
#define BILBERRYLEAD_POLICY_CRASH_VERDICT_HPP

#include <string_view>

namespace bilberrylead::policy
{

/// What crash_history says about running a request.
enum class crash_verdict
{
    /// It may run like any other.
    unrestricted,
    /// It may run once at a time, and is not tried again once it may have
    /// run.
    restricted,
    /// It must not run.
    refused,
};

/// The verdict's name as logs and operators see it.
std::string_view to_string(crash_verdict verdict);

} // namespace bilberrylead::policy

#endif
