#ifndef BILBERRYLEAD_POLICY_LEAST_IN_FLIGHT_CHOICE_HPP
#define BILBERRYLEAD_POLICY_LEAST_IN_FLIGHT_CHOICE_HPP

#include "bilberrylead/policy/upstream_choice.hpp"

namespace bilberrylead::policy
{

/// Baseline for comparison: the upstream with the fewest requests in flight
/// from this entry host; ties are broken at random. With many entry hosts and
/// three slots for each upstream, this count is mostly 0 or 1 and does not show
/// that other entry hosts have filled the slots.
class least_in_flight_choice
{
public:
    /// Selects an upstream; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;
};

} // namespace bilberrylead::policy

#endif
