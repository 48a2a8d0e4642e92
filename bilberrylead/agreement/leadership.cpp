#include "bilberrylead/agreement/leadership.hpp"

#include "bilberrylead/agreement/codec.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace bilberrylead::agreement
{

leadership::leadership(replica_core& shared, log_applier& to_apply)
    : core(shared), applier(to_apply), sender(shared, rounds)
{
}

void leadership::begin()
{
    this->elected_at = this->core.now;
    this->checked_at = this->core.now;
    this->resumed_at.reset();
    this->term_start_index = this->core.log.last_index() + 1;
    this->lease_released = false;
    this->peers.clear();
    this->peers.update_members(this->core.memberships.current(),
                               this->core.self, this->term_start_index,
                               this->core.now);
    this->start_round();
    this->append(entry_kind::no_op, bytes());
    this->schedule_heartbeats();
}

void leadership::end()
{
    this->peers.clear();
}

void leadership::start_round()
{
    this->rounds.next(this->core.now);
}

void leadership::check_quorum()
{
    this->record_pause();
    instant const acked = std::max(
        this->quorum_acked_send_time(this->core.now).value_or(this->elected_at),
        this->elected_at);

    // Replies that arrived during a pause may be unread. Reads do not rely on
    // this check: the lease ends by the time itself.
    duration const timeout = this->core.settings.election_timeout;
    duration const bound = this->has_just_resumed() ? 2 * timeout : timeout;
    bool const lost = this->core.now - acked > bound;
    if (lost && this->core.enabled_safeguards.quorum_check)
    {
        this->core.leader = host_id();
        this->core.life_cycle.follow();
    }
}

/// A pause up to half an election timeout alone does not make the leader step
/// down: the last reply was to a heartbeat at most two intervals and a round
/// trip before it.
void leadership::record_pause()
{
    replica_settings const& settings = this->core.settings;
    bool const was_paused =
        this->core.now - this->checked_at > settings.election_timeout / 2;
    this->checked_at = this->core.now;
    if (settings.wait_after_pause && was_paused)
    {
        this->resumed_at = this->core.now;
    }
}

/// True for one heartbeat interval after a pause of this process: time for a
/// tick and a round trip between regions, in which replies that waited are read
/// and a heartbeat is answered.
bool leadership::has_just_resumed() const
{
    return this->resumed_at.has_value() &&
           this->core.now - *this->resumed_at <
               this->core.settings.heartbeat_interval;
}

std::uint64_t leadership::append(entry_kind kind, bytes payload)
{
    log_entry next{this->core.hard_state.term, this->core.log.last_index() + 1,
                   kind, std::move(payload)};
    std::uint64_t const index = next.index;
    this->core.effects.write(append_entries{index, {next}});
    if (kind == entry_kind::membership)
    {
        this->core.memberships.put(index, *decode_membership(next.payload));
        this->peers.update_members(this->core.memberships.current(),
                                   this->core.self, index, this->core.now);
    }
    this->core.log.append(std::move(next));
    return index;
}

void leadership::on_tick()
{
    if (this->core.now >= this->heartbeats_due_at)
    {
        this->schedule_heartbeats();
    }
}

void leadership::schedule_heartbeats()
{
    this->heartbeats_due_at = this->core.now;
}

void leadership::flush()
{
    this->commit();
    for (peer_progress& peer : this->peers.all())
    {
        this->sender.send_entries(peer);
    }
    if (this->core.now >= this->heartbeats_due_at)
    {
        this->send_heartbeats();
    }
}

void leadership::commit()
{
    std::uint64_t const reached = this->peers.quorum_match_index(
        this->core.is_voter(), this->core.log.last_index());
    if (reached <= this->core.commit_index)
    {
        return;
    }

    // An entry of an older term can still be overwritten after a quorum has
    // stored it, by a leader whose last entry has a later term. An entry of the
    // current term cannot.
    bool const own_term =
        this->core.log.term_at(reached) == this->core.hard_state.term;
    if (own_term || !this->core.enabled_safeguards.commit_own_term_only)
    {
        this->applier.commit_through(reached);
    }

    // A leader that removed itself from the membership keeps leading until that
    // entry is committed.
    bool const settled =
        this->core.memberships.current_index() <= this->core.commit_index;
    if (settled && !this->core.is_voter())
    {
        this->core.leader = host_id();
        this->core.life_cycle.follow();
    }
}

void leadership::send_heartbeats()
{
    for (peer_progress& peer : this->peers.all())
    {
        this->sender.send_heartbeat(peer);
    }
    this->heartbeats_due_at =
        this->core.now + this->core.settings.heartbeat_interval;
    this->rounds.forget_before(this->core.now -
                               2 * this->core.settings.election_timeout);
}

std::optional<instant> leadership::quorum_acked_send_time(instant now) const
{
    return this->peers.quorum_acked_send_time(this->core.is_voter(), now);
}

peer_progress* leadership::record_reply(host_id const& from,
                                        std::uint64_t sender_incarnation,
                                        std::uint64_t round)
{
    peer_progress* const peer = this->peers.find(from);
    if (peer == nullptr)
    {
        return nullptr;
    }
    if (peer->member.incarnation != sender_incarnation &&
        this->core.enabled_safeguards.incarnation_check)
    {
        // The host lost its disk: whatever its previous incarnation stored or
        // granted no longer counts.
        peer->newer_incarnation =
            std::max(peer->newer_incarnation, sender_incarnation);
        return nullptr;
    }
    std::optional<instant> const sent_at = this->rounds.started_at(round);
    if (sent_at.has_value() && round > peer->acked_round)
    {
        peer->acked_round = round;
        peer->acked_send_time = sent_at;
    }
    if (!this->core.enabled_safeguards.lease_from_send)
    {
        peer->acked_send_time = this->core.now;
    }
    peer->last_reply_at = this->core.now;
    return peer;
}

void leadership::on_append_reply(host_id const& from,
                                 std::uint64_t sender_incarnation,
                                 append_reply const& reply)
{
    peer_progress* const peer =
        this->record_reply(from, sender_incarnation, reply.round);
    if (peer == nullptr || reply.match_index > this->core.log.last_index())
    {
        return;
    }
    if (!reply.success)
    {
        this->on_append_rejected(*peer, reply);
        return;
    }
    peer->match_index = std::max(peer->match_index, reply.match_index);
    peer->next_index = std::max(peer->next_index, peer->match_index + 1);

    // A version that does not report it counts as knowing what it has stored:
    // during an upgrade changes must still be confirmed.
    peer->commit_index = std::max(
        peer->commit_index, reply.commit_index.value_or(reply.match_index));

    // A heartbeat sent during a snapshot transfer matches at index 0 and proves
    // nothing about the log.
    if (reply.match_index > 0)
    {
        peer->probing = false;
    }
}

void leadership::on_append_rejected(peer_progress& peer,
                                    append_reply const& reply)
{
    bool const stale = reply.rejected_index <= peer.match_index;
    bool const other =
        peer.probing && reply.rejected_index != peer.next_index - 1;
    if (stale || other || peer.outgoing_snapshot)
    {
        return;
    }
    peer.next_index =
        std::max(peer.match_index + 1,
                 std::min(reply.retry_index, reply.rejected_index));
    peer.probing = true;
    this->sender.send_probe(peer);
}

void leadership::on_install_snapshot_reply(host_id const& from,
                                           std::uint64_t sender_incarnation,
                                           install_snapshot_reply const& reply)
{
    peer_progress* const peer =
        this->record_reply(from, sender_incarnation, reply.round);
    if (peer == nullptr || !peer->outgoing_snapshot ||
        peer->outgoing_snapshot->last_index != reply.last_index)
    {
        return;
    }
    if (!reply.installed)
    {
        bool const answers_last = reply.next_offset != peer->snapshot_offset;
        peer->snapshot_offset = reply.next_offset;
        if (answers_last)
        {
            this->sender.send_chunk(*peer);
        }
        return;
    }
    peer->match_index = std::max(peer->match_index, reply.last_index);
    peer->next_index = peer->match_index + 1;
    peer->outgoing_snapshot = nullptr;
    peer->probing = false;
}

bool leadership::has_committed_in_term() const
{
    return this->core.commit_index >= this->term_start_index;
}

bool leadership::holds_lease(instant now) const
{
    std::optional<instant> const acked = this->quorum_acked_send_time(now);
    duration const lease =
        this->core.settings.election_timeout - this->core.settings.lease_margin;
    return this->core.role() == role::leader && this->has_committed_in_term() &&
           !this->lease_released && acked.has_value() && now - *acked < lease;
}

void leadership::release_lease()
{
    this->lease_released = true;
}

std::uint64_t leadership::current_round() const
{
    return this->rounds.current();
}

std::uint64_t leadership::quorum_round() const
{
    return this->peers.quorum_round(this->core.is_voter(),
                                    this->rounds.current());
}

std::uint64_t leadership::quorum_commit_index() const
{
    return this->peers.quorum_commit_index(this->core.is_voter(),
                                           this->core.commit_index);
}

std::uint64_t leadership::needed_index() const
{
    std::uint64_t needed = std::numeric_limits<std::uint64_t>::max();
    for (peer_progress const& peer : this->peers.all())
    {
        if (peer.outgoing_snapshot)
        {
            needed = std::min(needed, peer.outgoing_snapshot->last_index);
        }
    }
    return needed;
}

peer_table& leadership::other_members()
{
    return this->peers;
}

} // namespace bilberrylead::agreement
