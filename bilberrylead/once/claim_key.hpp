#ifndef BILBERRYLEAD_ONCE_CLAIM_KEY_HPP
#define BILBERRYLEAD_ONCE_CLAIM_KEY_HPP

#include "bilberrylead/core/ids.hpp"

#include <compare>
#include <string>

namespace bilberrylead::once
{

/// Identifies one piece of work that may run at most once. Scoped to caller
/// and service, so that equal keys of two callers do not collide.
struct claim_key
{
    /// The service that runs the work.
    service_id service;
    /// The caller that requests the work.
    caller_id caller;
    /// The caller's Idempotency-Key, as sent.
    std::string idempotency_key;

    friend auto operator<=>(claim_key const&, claim_key const&) = default;
};

} // namespace bilberrylead::once

#endif
