#ifndef BILBERRYLEAD_AGREEMENT_APPEND_SENDER_HPP
#define BILBERRYLEAD_AGREEMENT_APPEND_SENDER_HPP

#include "bilberrylead/agreement/peer_progress.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/agreement/send_rounds.hpp"

#include <cstddef>
#include <cstdint>

namespace bilberrylead::agreement
{

/// Leader's side of append_request and install_snapshot_request.
class append_sender
{
public:
    /// Keeps references to both; they must outlive this object.
    append_sender(replica_core& shared, send_rounds& numbering);

    /// Sends the entries that the member is missing, up to the in-flight limit;
    /// starts a snapshot transfer if the log no longer holds them.
    void send_entries(peer_progress& peer);

    /// Sends a single append, or the first snapshot chunk. No further entries
    /// are sent until the member replies.
    void send_probe(peer_progress& peer);

    /// Sends a heartbeat. It also resends a lost probe or snapshot chunk.
    void send_heartbeat(peer_progress& peer);

    /// Sends the next chunk of the snapshot transfer in progress.
    void send_chunk(peer_progress& peer);

private:
    bool needs_snapshot(peer_progress const& peer) const;
    void start_snapshot(peer_progress& peer);
    bool replied_recently(peer_progress const& peer) const;
    std::size_t send_append(peer_progress const& peer,
                            std::uint64_t previous_index,
                            std::size_t max_entries);

    replica_core& core;
    send_rounds& rounds;
};

} // namespace bilberrylead::agreement

#endif
