#ifndef BILBERRYLEAD_AGREEMENT_REPLICA_PARTS_HPP
#define BILBERRYLEAD_AGREEMENT_REPLICA_PARTS_HPP

#include "bilberrylead/agreement/append_receiver.hpp"
#include "bilberrylead/agreement/effects/role_changed.hpp"
#include "bilberrylead/agreement/election.hpp"
#include "bilberrylead/agreement/event.hpp"
#include "bilberrylead/agreement/handover.hpp"
#include "bilberrylead/agreement/leadership.hpp"
#include "bilberrylead/agreement/log_applier.hpp"
#include "bilberrylead/agreement/membership_changer.hpp"
#include "bilberrylead/agreement/open_proposals.hpp"
#include "bilberrylead/agreement/read_queue.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/agreement/snapshot_receiver.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// The parts of a replica, and which event goes to which of them.
class replica_parts
{
public:
    /// See replica's constructor.
    replica_parts(host_id const& self, std::uint64_t incarnation,
                  replica_settings const& settings, std::uint64_t seed,
                  safeguards const& switches);

    /// Opens a call.
    void begin(instant now);
    /// Takes one event of the call.
    void take(event const& what);
    /// Closes the call.
    std::vector<effect> finish();

    /// Shared state.
    replica_core core;
    /// Open proposals.
    open_proposals proposals;
    /// Commit and snapshots.
    log_applier applier;
    /// Elections.
    election votes;
    /// Follower's side of appends.
    append_receiver appends;
    /// Follower's side of snapshots.
    snapshot_receiver snapshots;
    /// Leader's side.
    leadership office;
    /// Reads.
    read_queue reads;
    /// Membership.
    membership_changer changes;
    /// Planned stops.
    handover planned_stop;

private:
    void on(started const& what);
    void on(tick const& what);
    void on(message_received const& what);
    void on(propose const& what);
    void on(read_requested const& what);
    void on(membership_change_requested const& what);
    void on(handover_requested const& what);
    void on(snapshot_taken const& what);
    void on(disk_failed const& what);
    void found_group(membership const& founding);
    void recover_log(started const& what);
    bool is_from_former_self(message_received const& what) const;
    void dispatch(host_id const& from, message const& whole);
    void receive_from_leader(host_id const& from, message const& whole);
    void receive_reply(host_id const& from, message const& whole);
    void settle_role(agreement::role before);
    void report_role();

    role_changed reported;
};

} // namespace bilberrylead::agreement

#endif
