#ifndef BILBERRYLEAD_POLICY_SLOT_OWNER_EFFECT_HPP
#define BILBERRYLEAD_POLICY_SLOT_OWNER_EFFECT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/admission_verdict.hpp"

#include <cstdint>
#include <variant>

namespace bilberrylead::policy
{

/// Notify the entry host: send the request to this upstream.
struct slot_granted
{
    /// The entry host.
    std::uint32_t host = 0;
    /// The entry host's id of the request.
    std::uint64_t ticket = 0;
    /// The upstream, as an index into the owner's list.
    std::uint32_t upstream = 0;
    /// Id that slot_released must carry.
    std::uint64_t grant = 0;
    /// The owner's epoch.
    std::uint64_t epoch = 0;
    /// How long the grant lasts, counted from when the entry host sent its
    /// request.
    duration lifetime{};
};

/// Notify the entry host: the request is not run; answer its caller now.
struct slot_refused
{
    /// The entry host.
    std::uint32_t host = 0;
    /// The entry host's id of the request.
    std::uint64_t ticket = 0;
    /// Reason and retry time.
    refuse refusal;
};

/// Notify the entry host: send the request to the owner of that zone.
struct request_moved
{
    /// The entry host.
    std::uint32_t host = 0;
    /// The entry host's id of the request.
    std::uint64_t ticket = 0;
    /// The zone, as an index into the owner's list of nearby zones.
    std::uint32_t zone = 0;
};

/// An effect that slot_owner returns.
using slot_owner_effect =
    std::variant<slot_granted, slot_refused, request_moved>;

} // namespace bilberrylead::policy

#endif
