#ifndef BILBERRYLEAD_POLICY_LOSS_STEP_HPP
#define BILBERRYLEAD_POLICY_LOSS_STEP_HPP

namespace bilberrylead::policy
{

/// What to do about a request whose connection to an upstream was lost.
enum class loss_step
{
    /// Find out whether the upstream still takes connections.
    probe,
    /// That is being found out.
    wait,
    /// The upstream is known to have ended.
    ended,
};

} // namespace bilberrylead::policy

#endif
