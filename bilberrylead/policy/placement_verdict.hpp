#ifndef BILBERRYLEAD_POLICY_PLACEMENT_VERDICT_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_VERDICT_HPP

#include "bilberrylead/core/time.hpp"

#include <cstddef>
#include <variant>

namespace bilberrylead::policy
{

/// Send the request there.
struct placed
{
    /// Index of the candidate.
    std::size_t index = 0;
    /// Expected time until the answer is back.
    duration completion{};
    /// What of that is waiting for a slot.
    duration wait{};
    /// How many times longer than on an upstream that knows its object the
    /// run is expected to be.
    double run_factor = 1;
};

/// No upstream may get it.
struct no_upstream_allowed
{
};

/// Every upstream is too busy: it would come too late.
struct no_free_capacity
{
    /// Expected wait at the best upstream.
    duration wait{};
    /// After what time room is expected; the caller's return is spread
    /// around it.
    duration retry_after{};
};

/// Where a request goes.
using placement_verdict =
    std::variant<placed, no_upstream_allowed, no_free_capacity>;

} // namespace bilberrylead::policy

#endif
