#ifndef BILBERRYLEAD_POLICY_CRASH_VERDICT_HPP
#define BILBERRYLEAD_POLICY_CRASH_VERDICT_HPP

#include <string_view>

namespace bilberrylead::policy
{

/// crash_history's decision whether a request may run.
enum class crash_verdict
{
    /// It may run like any other.
    unrestricted,
    /// It may run once at a time and is not retried once it may have run.
    restricted,
    /// It must not run.
    refused,
};

/// The verdict's name in logs and operator replies.
std::string_view to_string(crash_verdict verdict);

} // namespace bilberrylead::policy

#endif
