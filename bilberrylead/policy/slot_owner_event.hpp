#ifndef BILBERRYLEAD_POLICY_SLOT_OWNER_EVENT_HPP
#define BILBERRYLEAD_POLICY_SLOT_OWNER_EVENT_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/slot_grant.hpp"

#include <cstdint>
#include <variant>

namespace bilberrylead::policy
{

/// An entry host requests a slot for one request of a caller.
struct slot_requested
{
    /// The entry host.
    std::uint32_t host = 0;
    /// The entry host's id of the request; unique over all entry hosts.
    std::uint64_t ticket = 0;
    /// Hash of the caller.
    std::uint32_t flow = 0;
    /// Time until the deadline. A duration, since the clocks of hosts differ.
    duration time_left{};
    /// How long the request occupies an upstream.
    config::work_length length = config::work_length::brief;
    /// True if it was moved here from another zone.
    bool moved = false;
};

/// An entry host has received its answer or abandoned the request: the slot
/// is free again.
struct slot_released
{
    /// The entry host.
    std::uint32_t host = 0;
    /// Id of the grant.
    std::uint64_t grant = 0;
    /// Time from sending the request to its answer; zero without an answer.
    duration service_time{};
};

/// The caller disconnected before a slot was granted.
struct slot_request_cancelled
{
    /// The entry host.
    std::uint32_t host = 0;
    /// The entry host's id of the request.
    std::uint64_t ticket = 0;
};

/// A heartbeat of an entry host: its grants are extended.
struct heartbeat_received
{
    /// The entry host.
    std::uint32_t host = 0;
};

/// This process owns the zone's slots from now on.
struct ownership_started
{
    /// Increases with each change of owner; grants carry it.
    std::uint64_t epoch = 0;
    /// When the ownership ends unless it is renewed, by this process's clock,
    /// counted from when the request for it was sent.
    instant until;
    /// How long unreported grants of the previous owner may still run; zero
    /// for the first owner ever.
    duration settling_time{};
    /// Number of entry hosts that will report the slots that they hold (see
    /// grant_reported).
    std::uint32_t hosts_to_report = 0;
};

/// The ownership is extended.
struct ownership_renewed
{
    /// Its new end.
    instant until;
};

/// One slot that an entry host holds from the previous owner. Sent once for
/// each slot; the last one has `complete` set.
struct grant_reported
{
    /// The slot; it is ignored if its id is 0.
    slot_grant held;
    /// True in the host's last report.
    bool complete = false;
};

/// The load of another zone, reported by its owner.
struct zone_load_reported
{
    /// The zone, as an index into the owner's list of nearby zones.
    std::uint32_t zone = 0;
    /// Slots that it may use.
    std::uint32_t usable = 0;
    /// Expected wait of a request that arrived there when the report was sent.
    duration expected_wait{};
};

/// The number of usable slots of an upstream changed.
struct usable_slots_changed
{
    /// The upstream, as an index into the owner's list.
    std::uint32_t upstream = 0;
    /// Slots that may be used now.
    std::uint32_t usable = 0;
};

/// Periodic timer; at least every 50 ms.
struct time_passed
{
};

/// An event that slot_owner reduces.
using slot_owner_event =
    std::variant<slot_requested, slot_released, slot_request_cancelled,
                 heartbeat_received, ownership_started, ownership_renewed,
                 grant_reported, zone_load_reported, usable_slots_changed,
                 time_passed>;

} // namespace bilberrylead::policy

#endif
