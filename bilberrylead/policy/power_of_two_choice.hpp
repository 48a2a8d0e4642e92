#ifndef BILBERRYLEAD_POLICY_POWER_OF_TWO_CHOICE_HPP
#define BILBERRYLEAD_POLICY_POWER_OF_TWO_CHOICE_HPP

#include "bilberrylead/policy/random_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline: two upstreams by chance, then the one with fewer requests of
/// this entry host.
class power_of_two_choice
{
public:
    /// Picks one; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;

private:
    random_choice random_pick;
};

} // namespace bilberrylead::policy

#endif
