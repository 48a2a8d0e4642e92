#ifndef BILBERRYLEAD_POLICY_PLACEMENT_VERDICT_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_VERDICT_HPP

#include "bilberrylead/core/time.hpp"

#include <cstddef>
#include <variant>

namespace bilberrylead::policy
{

/// The request goes to this upstream.
struct placed
{
    /// Index of the candidate.
    std::size_t index = 0;
    /// Expected time until the answer arrives.
    duration completion{};
    /// Part of `completion` that is spent waiting for a slot.
    duration wait{};
    /// Expected run time relative to an upstream that has the object cached.
    double run_factor = 1;
};

/// No upstream may receive the request.
struct no_upstream_allowed
{
};

/// Every upstream is too busy: the answer would arrive too late.
struct no_free_capacity
{
    /// Expected wait at the best upstream.
    duration wait{};
    /// Time after which the caller should retry, randomly spread after the time
    /// at which free capacity is expected.
    duration retry_after{};
};

/// The result of a placement.
using placement_verdict =
    std::variant<placed, no_upstream_allowed, no_free_capacity>;

} // namespace bilberrylead::policy

#endif
