#ifndef BILBERRYLEAD_LINK_PEER_CALLBACKS_HPP
#define BILBERRYLEAD_LINK_PEER_CALLBACKS_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/link/peer_identity.hpp"

#include <cstdint>
#include <functional>

namespace bilberrylead::link
{

/// Numbers the links of one process; never used twice.
using link_number = std::uint64_t;

/// What a peer_node tells its owner, always from the io_context's thread
/// and never from within a call to the node.
struct peer_callbacks
{
    /// A link is open and the peer has proven who it is.
    std::function<void(link_number, peer_identity const&)> connected;
    /// A whole message came in.
    std::function<void(link_number, bytes)> received;
    /// A link that was open is gone; its number says nothing from now on.
    std::function<void(link_number)> disconnected;
    /// A link ended before it was open: the peer could not be reached, or
    /// either side turned the other away. May be left empty.
    std::function<void()> refused;
};

} // namespace bilberrylead::link

#endif
