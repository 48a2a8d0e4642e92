#ifndef BILBERRYLEAD_POLICY_TWO_CHOICES_HPP
#define BILBERRYLEAD_POLICY_TWO_CHOICES_HPP

#include "bilberrylead/policy/random_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline: two upstreams by chance, then the one with fewer requests of
/// this entry host.
class two_choices
{
public:
    /// Picks one; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;

private:
    random_choice any;
};

} // namespace bilberrylead::policy

#endif
