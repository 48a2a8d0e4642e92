#ifndef BILBERRYLEAD_POLICY_RANDOM_CHOICE_HPP
#define BILBERRYLEAD_POLICY_RANDOM_CHOICE_HPP

#include "bilberrylead/policy/upstream_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline: any upstream that takes work, each as likely as the next.
/// Under a slow upstream its queue grows without end, since it gets as much
/// work as a fast one.
class random_choice
{
public:
    /// Picks one; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;
};

} // namespace bilberrylead::policy

#endif
