#ifndef BILBERRYLEAD_POLICY_ROUND_ROBIN_CHOICE_HPP
#define BILBERRYLEAD_POLICY_ROUND_ROBIN_CHOICE_HPP

#include "bilberrylead/policy/upstream_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline: upstreams that take work in turn. Shares random_choice's fault
/// under a slow upstream.
class round_robin_choice
{
public:
    /// Picks the next one; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random);

private:
    std::size_t last = 0;
};

} // namespace bilberrylead::policy

#endif
