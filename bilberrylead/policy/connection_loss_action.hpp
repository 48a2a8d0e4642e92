#ifndef BILBERRYLEAD_POLICY_CONNECTION_LOSS_ACTION_HPP
#define BILBERRYLEAD_POLICY_CONNECTION_LOSS_ACTION_HPP

namespace bilberrylead::policy
{

/// What to do about a request whose connection to an upstream was lost.
enum class connection_loss_action
{
    /// Test whether the upstream still accepts connections.
    probe,
    /// Wait: a test is already in progress.
    wait,
    /// The upstream is known to have ended.
    upstream_ended,
};

} // namespace bilberrylead::policy

#endif
