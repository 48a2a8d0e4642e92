#ifndef BILBERRYLEAD_AGREEMENT_APPEND_SENDER_HPP
#define BILBERRYLEAD_AGREEMENT_APPEND_SENDER_HPP

#include "bilberrylead/agreement/peer_progress.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/agreement/send_rounds.hpp"

#include <cstddef>
#include <cstdint>

namespace bilberrylead::agreement
{

/// A leader's side of append_request and install_snapshot_request.
class append_sender
{
public:
    /// Works on the replica's shared state.
    append_sender(replica_core& shared, send_rounds& numbering);

    /// Sends what the member is known to lack, as far as may be under way.
    void send_entries(peer_progress& peer);

    /// Sends one append, or chunk, and waits for the answer to it.
    void send_probe(peer_progress& peer);

    /// Sends a heartbeat; it also brings back whatever got lost.
    void send_heartbeat(peer_progress& peer);

    /// Sends the next chunk of the snapshot under way.
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
