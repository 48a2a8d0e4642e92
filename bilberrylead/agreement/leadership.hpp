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

/// What a leader does while it leads: appends, counts copies, commits,
/// sends heartbeats and checks that a quorum still answers.
class leadership
{
public:
    /// Works on the replica's shared state.
    leadership(replica_core& shared, log_applier& to_apply);

    /// The election is won: starts with an entry of the own term.
    void begin();

    /// The office is lost.
    void end();

    /// A new call starts: later sends belong to it.
    void start_round();

    /// Steps down if no quorum answered for an election timeout.
    void check_quorum();

    /// Puts an entry into the log; gives its index.
    std::uint64_t append(entry_kind kind, bytes payload);

    /// Heartbeats that are due.
    void on_tick();

    /// Makes the next flush send heartbeats.
    void schedule_heartbeats();

    /// Commits what can be, and sends what members lack.
    void flush();

    /// Counts an answer.
    void on_append_reply(host_id const& from, std::uint64_t sender_incarnation,
                         append_reply const& reply);
    /// Goes on with a snapshot.
    void on_install_snapshot_reply(host_id const& from,
                                   std::uint64_t sender_incarnation,
                                   install_snapshot_reply const& reply);

    /// True once an entry of the own term is committed: only then does the
    /// commit index include everything that earlier leaders committed.
    bool has_committed_in_term() const;

    /// True while no other leader can have been elected.
    bool holds_lease(instant now) const;

    /// No lease any more in this term: a handover may be under way.
    void release_lease();

    /// The round at work.
    std::uint64_t current_round() const;

    /// Latest round that a quorum answered.
    std::uint64_t quorum_round() const;

    /// Lowest index that a snapshot under way will need next.
    std::uint64_t needed_index() const;

    /// When this replica was elected.
    instant leader_since() const
    {
        return this->elected_at;
    }

    /// Members other than self.
    peer_table& other_members();

private:
    peer_progress* record_reply(host_id const& from,
                                std::uint64_t sender_incarnation,
                                std::uint64_t round);
    void on_append_rejected(peer_progress& peer, append_reply const& reply);
    void commit();
    void send_heartbeats();
    std::optional<instant> quorum_acked_send_time(instant now) const;

    replica_core& core;
    log_applier& applier;
    send_rounds rounds;
    append_sender sender;
    peer_table peers;
    instant elected_at;
    instant heartbeats_due_at;
    std::uint64_t term_start_index = 0;
    bool lease_released = false;
};

} // namespace bilberrylead::agreement

#endif
