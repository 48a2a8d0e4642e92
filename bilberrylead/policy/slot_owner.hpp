#ifndef BILBERRYLEAD_POLICY_SLOT_OWNER_HPP
#define BILBERRYLEAD_POLICY_SLOT_OWNER_HPP

#include "bilberrylead/policy/admission_queue.hpp"
#include "bilberrylead/policy/nearby_zone.hpp"
#include "bilberrylead/policy/slot_owner_effect.hpp"
#include "bilberrylead/policy/slot_owner_event.hpp"
#include "bilberrylead/policy/slot_owner_settings.hpp"
#include "bilberrylead/policy/slot_table.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::policy
{

/// Owner of all slots of one service's upstreams in one zone and of the queue
/// for them. One entry host of the zone is the owner, by lease.
///
/// Coordinates the entry hosts of a zone: ten of them that use upstreams with
/// three slots each without seeing each other's requests either overload an
/// upstream or leave slots idle. With one owner a request waits for all slots
/// of its zone and gets the first that comes free. A request moves to another
/// zone if its wait there, including the round trip, is shorter.
///
/// A slot granted twice overloads its upstream, and owners may fail at any
/// time. Three rules prevent double grants:
/// - A grant expires later by the owner's clock than by the clock of the host
///   that holds it (the host counts from when it sent its request).
/// - An owner whose lease expired grants nothing, however long it was frozen.
/// - A new owner grants nothing until every host has reported the slots that
///   it holds, or until the longest grant of the previous owner has expired.
class slot_owner
{
public:
    /// Creates the state for upstreams with these numbers of slots. It does
    /// not own them until ownership_started.
    slot_owner(std::vector<std::uint32_t> const& slots,
               std::vector<nearby_zone> const& zones,
               slot_owner_settings const& settings = {});

    /// Applies one event. The returned effects are valid until the next call.
    std::vector<slot_owner_effect> const& reduce(slot_owner_event const& event,
                                                 instant now);

    /// The load report that this zone sends to the others now.
    zone_load_reported load(instant now) const;

    /// True if it may grant slots now.
    bool grants_slots(instant now) const;

    /// Number of waiting requests.
    std::size_t waiting() const
    {
        return this->queue.size();
    }

    /// The slots.
    slot_table const& slots() const
    {
        return this->table;
    }

private:
    void on(slot_requested const& event, instant now);
    void on(slot_released const& event, instant now);
    void on(slot_request_cancelled const& event, instant now);
    void on(heartbeat_received const& event, instant now);
    void on(ownership_started const& event, instant now);
    void on(ownership_renewed const& event, instant now);
    void on(grant_reported const& event, instant now);
    void on(zone_load_reported const& event, instant now);
    void on(usable_slots_changed const& event, instant now);
    void on(time_passed const& event, instant now);

    duration expected_wait(std::uint32_t flow, instant now) const;
    std::optional<std::uint32_t>
    better_zone(duration wait_here, duration time_left, instant now) const;
    bool try_grant(waiting_request const& request, instant now);
    void grant_waiting(instant now);
    void refuse_expired(instant now);
    void refuse_all_waiting();
    bool owns_slots(instant now) const;
    void move_waiting(instant now);
    void move(waiting_request const& request, std::uint32_t zone);
    void refuse_request(waiting_request const& request, refuse const& refusal);

    slot_owner_settings settings;
    slot_table table;
    admission_queue queue;
    std::vector<nearby_zone> zones;
    std::vector<slot_owner_effect> effects;
    std::uint64_t epoch = 0;
    instant owner_until;
    instant settled_at;
    std::uint32_t pending_reports = 0;
};

} // namespace bilberrylead::policy

#endif
