#ifndef BILBERRYLEAD_POLICY_RANDOM_CHOICE_HPP
#define BILBERRYLEAD_POLICY_RANDOM_CHOICE_HPP

#include "bilberrylead/policy/upstream_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline for comparison: any upstream that accepts work, with equal
/// probability. The queue of a slow upstream grows without limit, since it
/// receives as much work as a fast one.
class random_choice
{
public:
    /// Selects an upstream; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;
};

} // namespace bilberrylead::policy

#endif
