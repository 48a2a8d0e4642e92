#ifndef BILBERRYLEAD_POLICY_PLAN_STEP_HPP
#define BILBERRYLEAD_POLICY_PLAN_STEP_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/traffic_shares.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// One step of a shift, as the leader proposes it and entry hosts take it.
struct plan_step
{
    /// The leader's term. A step of an older term than one already seen is
    /// taken by nobody.
    std::uint64_t term = 0;
    /// Grows by one with each step over all terms.
    std::uint64_t number = 0;
    /// Where callers go once it is applied; a whole, not a change.
    traffic_shares shares;
    /// How long it may be taken, counted from when the entry host asked.
    duration valid_for{};
};

} // namespace bilberrylead::policy

#endif
