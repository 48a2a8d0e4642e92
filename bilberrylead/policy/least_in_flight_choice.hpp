#ifndef BILBERRYLEAD_POLICY_LEAST_IN_FLIGHT_CHOICE_HPP
#define BILBERRYLEAD_POLICY_LEAST_IN_FLIGHT_CHOICE_HPP

#include "bilberrylead/policy/upstream_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline: the upstream with the fewest requests of this entry host, ties
/// by chance. With many entry hosts and three slots the own count is mostly
/// 0 or 1, so it cannot see that other entry hosts filled the slots.
class least_in_flight_choice
{
public:
    /// Picks one; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;
};

} // namespace bilberrylead::policy

#endif
