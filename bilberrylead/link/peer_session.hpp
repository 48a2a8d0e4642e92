#ifndef BILBERRYLEAD_LINK_PEER_SESSION_HPP
#define BILBERRYLEAD_LINK_PEER_SESSION_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/link/handshake.hpp"
#include "bilberrylead/link/peer_identity.hpp"
#include "bilberrylead/link/peer_node_settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>

namespace bilberrylead::link
{

/// One link, from the first byte to the last: WebSocket upgrade, handshake,
/// messages. Kept alive by its own pending operations; the owner holds a
/// weak or shared pointer. Used from the io_context's thread only.
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    /// What the session tells its owner.
    struct callbacks
    {
        /// The handshake is through.
        std::function<void(peer_identity const&)> opened;
        /// A whole message came in.
        std::function<void(bytes)> received;
        /// The link is gone; said once, the last thing said.
        std::function<void()> closed;
        /// Nothing was heard for the silence time-out; repeated while it is so.
        /// May be left empty.
        std::function<void()> silent = {};
    };

    /// Makes a session over a socket; `settings` must outlive it.
    peer_session(boost::asio::ip::tcp::socket socket,
                 peer_node_settings const& settings, callbacks owner);

    /// Takes the called side: upgrade, then ask for a proof.
    void start_accepted();

    /// Takes the calling side: connect, upgrade, then prove.
    void start_dialled(boost::asio::ip::tcp::endpoint const& address);

    /// Queues a message; closes the link if its backlog is full.
    void send(bytes message);

    /// Time at which the peer was last heard, be it by a message or a pong.
    std::chrono::steady_clock::time_point heard_at() const
    {
        return this->last_heard;
    }

    /// Closes the link at once.
    void close();

    /// Forgets the owner, who will hear nothing more, and closes.
    void detach();

private:
    enum class phase
    {
        handshake,
        open,
        closed,
    };

    void apply_stream_settings();
    void on_connected();
    void on_accepted_upgrade();
    void on_dialled_upgrade();
    void on_handshake_message(bytes const& message);
    void on_hello(bytes const& message);
    void on_challenge(bytes const& message);
    void on_welcome(bytes const& message);
    void become_open(peer_identity const& identity);
    void watch_silence();
    void on_watch();
    void read_next();
    void on_read(std::size_t size);
    void write_next();
    void fail(std::string_view what);
    void log_link(std::string_view verdict) const;

    boost::beast::websocket::stream<boost::beast::tcp_stream> stream;
    boost::asio::steady_timer watch;
    std::chrono::steady_clock::time_point last_heard{};
    bool pinging = false;
    peer_node_settings const& settings;
    callbacks owner;
    /// Known once the link is open.
    peer_identity peer;
    phase now_in = phase::handshake;
    bool dialled = false;
    bool writing = false;
    bytes own_nonce;
    bytes other_nonce;
    boost::beast::flat_buffer buffer;
    std::deque<bytes> backlog;
    std::size_t backlog_size = 0;
};

} // namespace bilberrylead::link

#endif
