#ifndef BILBERRYLEAD_ONCE_WORK_DIGEST_HPP
#define BILBERRYLEAD_ONCE_WORK_DIGEST_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/once/claim_key.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::once
{

/// Digest that represents a key or a request in 16 bytes instead of some
/// hundred. Truncated SHA-256: with a digest that is not collision-resistant
/// a caller could choose a key that collides with another caller's key and
/// read its answer.
struct work_digest
{
    /// Bytes kept of SHA-256.
    static constexpr std::size_t size = 16;

    /// Digest of all parts of a key.
    static work_digest of(claim_key const& key);
    /// Digest of a request id.
    static work_digest of(request_id const& request);

    /// The digest bytes.
    std::array<std::uint8_t, size> content{};

    friend auto operator<=>(work_digest const&, work_digest const&) = default;
};

} // namespace bilberrylead::once

#endif
