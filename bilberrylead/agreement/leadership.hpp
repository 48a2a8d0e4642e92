#ifndef BILBERRYLEAD_AGREEMENT_LEADERSHIP_HPP
#define BILBERRYLEAD_AGREEMENT_LEADERSHIP_HPP

#include "bilberrylead/agreement/append_sender.hpp"
#include "bilberrylead/agreement/log_applier.hpp"
#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/peer_table.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/agreement/send_rounds.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <optional>

namespace bilberrylead::agreement
{

/// Leader duties: appends entries, tracks replication, commits, sends
/// heartbeats and checks that a quorum still replies.
class leadership
{
public:
    /// Keeps references to both; they must outlive this object.
    leadership(replica_core& shared, log_applier& to_apply);

    /// Called when the election is won: appends a first entry of the new term.
    void begin();

    /// Called when leadership is lost.
    void end();

    /// Starts a new round at the beginning of a call; messages sent later carry
    /// its number.
    void start_round();

    /// Steps down if no quorum replied within an election timeout; within two,
    /// just after a pause of this process (setting wait_after_pause).
    void check_quorum();

    /// Appends an entry to the log and returns its index.
    std::uint64_t append(entry_kind kind, bytes payload);

    /// Schedules heartbeats if their interval has passed.
    void on_tick();

    /// Makes the next flush send heartbeats.
    void schedule_heartbeats();

    /// Advances the commit index, then sends missing entries and due
    /// heartbeats.
    void flush();

    /// Updates the sender's progress from its reply.
    void on_append_reply(host_id const& from, std::uint64_t sender_incarnation,
                         append_reply const& reply);
    /// Continues or completes the snapshot transfer to the sender.
    void on_install_snapshot_reply(host_id const& from,
                                   std::uint64_t sender_incarnation,
                                   install_snapshot_reply const& reply);

    /// True once an entry of the current term is committed: only then does the
    /// commit index include everything that earlier leaders committed.
    bool has_committed_in_term() const;

    /// True while no other replica can have been elected leader.
    bool holds_lease(instant now) const;

    /// Releases the lease for the rest of this term, because a handover may
    /// elect a successor at any time.
    void release_lease();

    /// Number of the current round.
    std::uint64_t current_round() const;

    /// Latest round that a quorum replied to.
    std::uint64_t quorum_round() const;

    /// Highest index that a quorum knows to be committed.
    std::uint64_t quorum_commit_index() const;

    /// Lowest index that the snapshot transfers in progress will need from the
    /// log; the maximum value if there is none.
    std::uint64_t needed_index() const;

    /// Time at which this replica was elected.
    instant leader_since() const
    {
        return this->elected_at;
    }

    /// Progress of the members other than this replica.
    peer_table& other_members();

private:
    peer_progress* record_reply(host_id const& from,
                                std::uint64_t sender_incarnation,
                                std::uint64_t round);
    void on_append_rejected(peer_progress& peer, append_reply const& reply);
    void commit();
    void send_heartbeats();
    std::optional<instant> quorum_acked_send_time(instant now) const;
    void record_pause();
    bool has_just_resumed() const;

    replica_core& core;
    log_applier& applier;
    send_rounds rounds;
    append_sender sender;
    peer_table peers;
    instant elected_at;
    instant heartbeats_due_at;
    // Time of the last quorum check, and of the last one after a pause.
    instant checked_at;
    std::optional<instant> resumed_at;
    std::uint64_t term_start_index = 0;
    bool lease_released = false;
};

} // namespace bilberrylead::agreement

#endif
