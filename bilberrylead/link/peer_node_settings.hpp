#ifndef BILBERRYLEAD_LINK_PEER_NODE_SETTINGS_HPP
#define BILBERRYLEAD_LINK_PEER_NODE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/peer_identity.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace bilberrylead::link
{

/// What a process needs to talk to its peers.
struct peer_node_settings
{
    /// Who this process is.
    peer_identity self;
    /// The key that every process of the system shares.
    std::string key;
    /// Largest message, bytes. A snapshot of 4.1 million client blocks has
    /// to fit; anything larger is a fault of the sender.
    std::size_t largest_message = std::size_t{256} << 20U;
    /// Bytes that may wait to be sent on one link. A peer that reads slower
    /// than that is cut off and catches up anew, instead of growing this
    /// process without end.
    std::size_t largest_backlog = std::size_t{512} << 20U;
    /// A link without a word for so long is replaced: the side that dialled it
    /// dials anew, and closes it once the new link is open. Open connections
    /// can go silent for good while new ones work, so that waiting for the
    /// operating system's own time-out (minutes) would be too long.
    duration silence_timeout = std::chrono::milliseconds(1500);
    /// A link without a word for so long is closed, also if no new one can be
    /// opened. Longer than what waits at a full access link: a link that is
    /// only slow would be closed with the messages that are on their way, and
    /// opened again over the same full link.
    duration idle_timeout = std::chrono::seconds(3);
    /// Time for a connection to open. A peer that is powered off says
    /// nothing, and neither does the system when the peer is back, so that
    /// each attempt waits for this to end: several round trips between
    /// regions, and well below the second after which the system itself asks
    /// again.
    duration connect_timeout = std::chrono::seconds(1);
    /// Time for the handshake on an open connection.
    duration handshake_timeout = std::chrono::seconds(2);
    /// Longest pause before a lost link is first dialled again: short, since
    /// a restarted process is usually back within a second.
    duration redial_pause = std::chrono::milliseconds(100);
    /// Longest pause; it doubles up to here, so that 5,500 hosts do not
    /// storm a peer that stays away.
    duration longest_redial_pause = std::chrono::seconds(2);

    /// Finds lost and returned peers within a second or so, where hosts are
    /// few enough to be called often: in a group that forms itself a peer
    /// that nobody calls again is one that is missing.
    void pace_for_small_group()
    {
        this->connect_timeout = std::chrono::milliseconds(300);
        this->handshake_timeout = std::chrono::seconds(1);
        this->longest_redial_pause = std::chrono::milliseconds(400);
    }
};

} // namespace bilberrylead::link

#endif
