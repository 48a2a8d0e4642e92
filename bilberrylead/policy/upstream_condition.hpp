#ifndef BILBERRYLEAD_POLICY_UPSTREAM_CONDITION_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_CONDITION_HPP

namespace bilberrylead::policy
{

/// Health of an upstream, which determines how much work it receives; see
/// upstream_health.
enum class upstream_condition
{
    /// Receives work in all of its slots.
    healthy,
    /// Failed recently; receives work only after healthy upstreams.
    suspected,
    /// Receives no work.
    ejected,
    /// Recovering from ejection or starting: receives work in one slot, then
    /// gradually in more.
    probing,
};

} // namespace bilberrylead::policy

#endif
