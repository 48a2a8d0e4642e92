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
#include "bilberrylead/agreement/pending_proposals.hpp"
#include "bilberrylead/agreement/read_queue.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/agreement/snapshot_receiver.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// The components of a replica, and the dispatch of events to them.
class replica_parts
{
public:
    /// See replica's constructor.
    replica_parts(host_id const& self, std::uint64_t incarnation,
                  replica_settings const& settings, std::uint64_t seed,
                  safeguards const& enabled_safeguards);

    /// Begins a call at time `now`.
    void begin_call(instant now);
    /// Processes one event of the call.
    void process(event const& event);
    /// Ends the call and returns its effects.
    std::vector<effect> finish_call();

    /// Shared state.
    replica_core core;
    /// Proposals that are not committed yet.
    pending_proposals proposals;
    /// Commits and snapshots.
    log_applier applier;
    /// Elections.
    election elections;
    /// Follower's side of appends.
    append_receiver appends;
    /// Follower's side of snapshots.
    snapshot_receiver snapshots;
    /// Leader's duties.
    agreement::leadership leadership;
    /// Pending reads.
    read_queue reads;
    /// Membership changes.
    membership_changer membership_changes;
    /// Transfer of leadership before a planned stop.
    handover leader_handover;

private:
    void on(started const& event);
    void on(tick const& event);
    void on(message_received const& event);
    void on(propose const& event);
    void on(read_requested const& event);
    void on(membership_change_requested const& event);
    void on(handover_requested const& event);
    void on(commit_announcement_requested const& event);
    void on(snapshot_taken const& event);
    void on(disk_failed const& event);
    void bootstrap_group(membership const& initial_membership);
    void recover_log(started const& event);
    bool is_from_previous_incarnation(message_received const& event) const;
    void dispatch(host_id const& from, message const& received);
    void receive_from_leader(host_id const& from, message const& received);
    void receive_reply(host_id const& from, message const& received);
    void handle_role_change(agreement::role before);
    void report_role();

    role_changed last_reported;
};

} // namespace bilberrylead::agreement

#endif
