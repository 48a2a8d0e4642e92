#ifndef BILBERRYLEAD_POLICY_SLOT_OWNER_EFFECT_HPP
#define BILBERRYLEAD_POLICY_SLOT_OWNER_EFFECT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/admission_verdict.hpp"

#include <cstdint>
#include <variant>

namespace bilberrylead::policy
{

/// Tell the entry host: send the request to this upstream.
struct slot_granted
{
    /// The entry host.
    std::uint32_t host = 0;
    /// Its name for the request.
    std::uint64_t ticket = 0;
    /// The upstream, by its place in the owner's list.
    std::uint32_t upstream = 0;
    /// What slot_released must name.
    std::uint64_t grant = 0;
    /// The owner's epoch.
    std::uint64_t epoch = 0;
    /// How long it lasts, counted from when the entry host sent its ask.
    duration lifetime{};
};

/// Tell the entry host: the request is not run; answer its caller now.
struct slot_refused
{
    /// The entry host.
    std::uint32_t host = 0;
    /// Its name for the request.
    std::uint64_t ticket = 0;
    /// Why, and when to come back.
    refuse refusal;
};

/// Tell the entry host: take the request to the owner of that zone.
struct request_moved
{
    /// The entry host.
    std::uint32_t host = 0;
    /// Its name for the request.
    std::uint64_t ticket = 0;
    /// The zone, by its place in the owner's list of neighbours.
    std::uint32_t zone = 0;
};

/// What a slot_owner wants done.
using slot_owner_effect =
    std::variant<slot_granted, slot_refused, request_moved>;

} // namespace bilberrylead::policy

#endif
