#ifndef BILBERRYLEAD_LINK_PEER_NODE_HPP
#define BILBERRYLEAD_LINK_PEER_NODE_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace bilberrylead::link
{

struct peer_node_settings;

/// All links of one process to its peers: those it dials, which it keeps up,
/// and those it accepts. Binary WebSocket messages, both sides proven by the
/// shared key. Used from the io_context's thread only.
class peer_node
{
public:
    /// Makes a node without links. `io` must outlive it.
    peer_node(boost::asio::io_context& io, peer_node_settings settings,
              peer_callbacks callbacks);

    /// Closes every link without a word to the callbacks.
    ~peer_node();

    peer_node(peer_node const&) = delete;
    peer_node& operator=(peer_node const&) = delete;

    /// Takes links at this address from now on. Port 0 takes a free one.
    /// Kind `connection` if the address cannot be had.
    absl::Status listen(config::endpoint const& address);

    /// The port that listen() took, 0 before.
    std::uint16_t port() const;

    /// Keeps one link to this address up, until forget() or the end. Dialling
    /// an address that is kept up already changes nothing.
    void dial(config::endpoint const& address);

    /// Stops keeping the link up, and closes it.
    void forget(config::endpoint const& address);

    /// Queues a message. A link that is gone swallows it: a message between
    /// processes is never certain to arrive, and the parts above resend.
    void send(link_number link, bytes message);

    /// Closes a link; `disconnected` follows.
    void close(link_number link);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace bilberrylead::link

#endif
