#ifndef BILBERRYLEAD_POLICY_POWER_OF_TWO_CHOICE_HPP
#define BILBERRYLEAD_POLICY_POWER_OF_TWO_CHOICE_HPP

#include "bilberrylead/policy/random_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline for comparison: draws two upstreams at random and selects the one
/// with fewer requests in flight from this entry host.
class power_of_two_choice
{
public:
    /// Selects an upstream; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;

private:
    random_choice random_pick;
};

} // namespace bilberrylead::policy

#endif
