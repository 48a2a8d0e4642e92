#ifndef BILBERRYLEAD_POLICY_CONNECTION_LOSS_ACTION_HPP
#define BILBERRYLEAD_POLICY_CONNECTION_LOSS_ACTION_HPP

namespace bilberrylead::policy
{

/// What to do about a request whose connection to an upstream was lost.
enum class connection_loss_action
{
    /// Find out whether the upstream still takes connections.
    probe,
    /// That is being found out.
    wait,
    /// The upstream is known to have ended.
    upstream_ended,
};

} // namespace bilberrylead::policy

#endif
