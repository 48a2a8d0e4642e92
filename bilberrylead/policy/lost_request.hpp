#ifndef BILBERRYLEAD_POLICY_LOST_REQUEST_HPP
#define BILBERRYLEAD_POLICY_LOST_REQUEST_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// A request whose connection to an upstream was lost while it may have been
/// running there.
struct lost_request
{
    /// Digest of the request.
    std::uint64_t digest = 0;
    /// Time at which it was sent to the upstream.
    instant sent{};

    friend bool operator==(lost_request const&, lost_request const&) = default;
};

} // namespace bilberrylead::policy

#endif
