#ifndef BILBERRYLEAD_POLICY_SLOT_OWNER_EVENT_HPP
#define BILBERRYLEAD_POLICY_SLOT_OWNER_EVENT_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/slot_grant.hpp"

#include <cstdint>
#include <variant>

namespace bilberrylead::policy
{

/// An entry host asks for a slot for one request.
struct slot_requested
{
    /// The entry host.
    std::uint32_t host = 0;
    /// Its name for the request; unique over all entry hosts.
    std::uint64_t ticket = 0;
    /// Hash of the caller.
    std::uint32_t flow = 0;
    /// What the deadline leaves. A length, since clocks differ.
    duration time_left{};
    /// What the request costs an upstream.
    config::work_length length = config::work_length::brief;
    /// True if it was moved here from another zone.
    bool moved = false;
};

/// An entry host has its answer, or gave up on the request: the slot is
/// free again.
struct slot_released
{
    /// The entry host.
    std::uint32_t host = 0;
    /// The grant it was given.
    std::uint64_t grant = 0;
    /// From sending the request to its answer; zero if there was none.
    duration service_time{};
};

/// The caller went away before a slot was granted.
struct slot_request_cancelled
{
    /// The entry host.
    std::uint32_t host = 0;
    /// Its name for the request.
    std::uint64_t ticket = 0;
};

/// An entry host lives: its grants go on.
struct heartbeat_received
{
    /// The entry host.
    std::uint32_t host = 0;
};

/// This process owns the zone's slots from now on.
struct ownership_started
{
    /// Grows with each change of owner; grants carry it.
    std::uint64_t epoch = 0;
    /// When the ownership ends unless it is renewed, by this process's
    /// clock, anchored when the request for it was sent.
    instant until;
    /// How long the former owner's grants may still run if nobody reports
    /// them; zero for the first owner ever.
    duration settling_time{};
    /// Entry hosts that will report what they hold (see grants_reported).
    std::uint32_t hosts_to_report = 0;
};

/// The ownership lasts longer.
struct ownership_renewed
{
    /// Its new end.
    instant until;
};

/// One slot that an entry host holds from the former owner. Sent for each
/// of them, then the last one with `complete`.
struct grant_reported
{
    /// The slot; nothing is adopted if its id is 0.
    slot_grant held;
    /// True in the host's last report.
    bool complete = false;
};

/// How another zone's owner is off.
struct zone_load_reported
{
    /// The zone, by its place in the owner's list of neighbours.
    std::uint32_t zone = 0;
    /// Slots it may use.
    std::uint32_t usable = 0;
    /// Expected wait of a request that came there when it was sent.
    duration expected_wait{};
};

/// The slots of an upstream that may be used changed.
struct usable_slots_changed
{
    /// The upstream, by its place in the owner's list.
    std::uint32_t upstream = 0;
    /// Slots that may be used now.
    std::uint32_t usable = 0;
};

/// Time went by; at least every 50 ms.
struct time_passed
{
};

/// What a slot_owner reduces.
using slot_owner_event =
    std::variant<slot_requested, slot_released, slot_request_cancelled,
                 heartbeat_received, ownership_started, ownership_renewed,
                 grant_reported, zone_load_reported, usable_slots_changed,
                 time_passed>;

} // namespace bilberrylead::policy

#endif
