#ifndef BILBERRYLEAD_POLICY_ROUND_ROBIN_CHOICE_HPP
#define BILBERRYLEAD_POLICY_ROUND_ROBIN_CHOICE_HPP

#include "bilberrylead/policy/upstream_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline for comparison: the upstreams that accept work, in turn. As with
/// random_choice, the queue of a slow upstream grows without limit.
class round_robin_choice
{
public:
    /// Selects the next upstream; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random);

private:
    std::size_t last = 0;
};

} // namespace bilberrylead::policy

#endif
