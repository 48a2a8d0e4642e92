#ifndef BILBERRYLEAD_POLICY_UPSTREAM_CONDITION_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_CONDITION_HPP

namespace bilberrylead::policy
{

/// How far an upstream is trusted with work; see upstream_health.
enum class upstream_condition
{
    /// Takes work in all of its slots.
    healthy,
    /// Failed lately; takes work, but only after healthy ones.
    suspected,
    /// Takes no work.
    ejected,
    /// Returns: takes work in a few slots, then in more.
    probing,
};

} // namespace bilberrylead::policy

#endif
