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

/// Stands for a key or a request in 16 bytes instead of some hundred. Cut
/// from SHA-256: with a digest that callers can find collisions for, one
/// could pick a key that meets another caller's and read its answer.
struct work_digest
{
    /// Bytes kept of SHA-256.
    static constexpr std::size_t size = 16;

    /// The digest of a key, of all its parts.
    static work_digest of(claim_key const& key);
    /// The digest of a request's id.
    static work_digest of(request_id const& request);

    /// The bytes.
    std::array<std::uint8_t, size> content{};

    friend auto operator<=>(work_digest const&, work_digest const&) = default;
};

} // namespace bilberrylead::once

#endif
