#include "bilberrylead/agreement/append_sender.hpp"

#include <algorithm>

namespace bilberrylead::agreement
{

append_sender::append_sender(replica_core& shared, send_rounds& numbering)
    : core(shared), rounds(numbering)
{
}

void append_sender::send_entries(peer_progress& peer)
{
    if (peer.probing || peer.outgoing_snapshot)
    {
        return;
    }
    if (this->needs_snapshot(peer))
    {
        this->start_snapshot(peer);
        return;
    }
    replica_settings const& bounds = this->core.settings;
    while (peer.next_index <= this->core.log.last_index())
    {
        std::uint64_t const inflight = peer.next_index - 1 - peer.match_index;
        if (inflight >= bounds.max_inflight_entries)
        {
            return;
        }
        std::size_t const max_entries = std::min<std::size_t>(
            bounds.max_append_entries, bounds.max_inflight_entries - inflight);
        peer.next_index +=
            this->send_append(peer, peer.next_index - 1, max_entries);
    }
}

void append_sender::send_probe(peer_progress& peer)
{
    if (this->needs_snapshot(peer))
    {
        this->start_snapshot(peer);
        return;
    }

    // An unresponsive member gets an empty probe instead of the same entries
    // again and again.
    std::size_t const entries = this->replied_recently(peer)
                                    ? this->core.settings.max_append_entries
                                    : 0;
    this->send_append(peer, peer.next_index - 1, entries);
}

void append_sender::send_heartbeat(peer_progress& peer)
{
    if (peer.outgoing_snapshot)
    {
        bool const lost = this->core.now - peer.chunk_sent_at >=
                          2 * this->core.settings.heartbeat_interval;
        if (lost && this->replied_recently(peer))
        {
            this->send_chunk(peer);
            return;
        }

        // All logs match at index 0, so this append is never rejected.
        this->send_append(peer, 0, 0);
        return;
    }
    if (peer.probing || this->needs_snapshot(peer))
    {
        this->send_probe(peer);
        return;
    }
    this->send_append(peer, peer.next_index - 1, 0);
}

void append_sender::send_chunk(peer_progress& peer)
{
    snapshot const& current = *peer.outgoing_snapshot;
    std::uint64_t const from =
        std::min<std::uint64_t>(peer.snapshot_offset, current.state.size());
    std::uint64_t const length = std::min<std::uint64_t>(
        this->core.settings.snapshot_chunk_bytes, current.state.size() - from);
    auto const first =
        current.state.begin() + static_cast<bytes::difference_type>(from);
    auto const last = first + static_cast<bytes::difference_type>(length);
    peer.chunk_sent_at = this->core.now;
    this->core.effects.send_before_sync(
        send{peer.member.host,
             this->core.make_message(install_snapshot_request{
                 this->rounds.current(), current.last_index, current.last_term,
                 current.membership, current.state.size(), from,
                 bytes(first, last)})});
}

bool append_sender::needs_snapshot(peer_progress const& peer) const
{
    return peer.next_index <= this->core.log.base_index();
}

void append_sender::start_snapshot(peer_progress& peer)
{
    peer.outgoing_snapshot = this->core.latest_snapshot;
    peer.snapshot_offset = 0;
    this->send_chunk(peer);
}

bool append_sender::replied_recently(peer_progress const& peer) const
{
    return peer.last_reply_at.has_value() &&
           this->core.now - *peer.last_reply_at <
               this->core.settings.election_timeout;
}

std::size_t append_sender::send_append(peer_progress const& peer,
                                       std::uint64_t previous_index,
                                       std::size_t max_entries)
{
    append_request request;
    request.round = this->rounds.current();
    request.previous_index = previous_index;
    request.previous_term = this->core.log.term_at(previous_index).value_or(0);

    // This message leaves before the sync. A sole voter commits in the same
    // call that writes the entry; if that commit index were sent now and the
    // entry lost in a crash, a learner would have applied an entry that the
    // voter no longer has.
    request.commit_index =
        std::min(this->core.commit_index, this->core.durable_index);
    if (max_entries > 0)
    {
        request.entries =
            this->core.log.slice(previous_index + 1, max_entries,
                                 this->core.settings.max_append_bytes);
    }
    std::size_t const sent = request.entries.size();
    this->core.effects.send_before_sync(
        send{peer.member.host, this->core.make_message(std::move(request))});
    return sent;
}

} // namespace bilberrylead::agreement
