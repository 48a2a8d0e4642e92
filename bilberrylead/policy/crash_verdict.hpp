#ifndef BILBERRYLEAD_POLICY_CRASH_VERDICT_HPP
#define BILBERRYLEAD_POLICY_CRASH_VERDICT_HPP

namespace bilberrylead::policy
{

/// What crash_history says about running a request.
enum class crash_verdict
{
    /// It may run like any other.
    unrestricted,
    /// It may run once at a time and is not tried again.
    restricted,
    /// It must not run.
    refused,
};

} // namespace bilberrylead::policy

#endif
