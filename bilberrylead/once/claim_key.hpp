#ifndef BILBERRYLEAD_ONCE_CLAIM_KEY_HPP
#define BILBERRYLEAD_ONCE_CLAIM_KEY_HPP

#include "bilberrylead/core/ids.hpp"

#include <compare>
#include <string>

namespace bilberrylead::once
{

/// Names one piece of work that may run at most once. Scoped to caller and
/// service, so that two callers who pick the same key do not meet.
struct claim_key
{
    /// The service that would run it.
    service_id service;
    /// Who asks for it.
    caller_id caller;
    /// The caller's Idempotency-Key, as sent.
    std::string idempotency_key;

    friend auto operator<=>(claim_key const&, claim_key const&) = default;
};

} // namespace bilberrylead::once

#endif
