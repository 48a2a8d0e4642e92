#include "bilberrylead/link/peer_session.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/log_line.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace bilberrylead::link
{

namespace
{

using error_code = boost::beast::error_code;

constexpr part_log log{"link"};

/// Before the handshake is through, a stranger may make this process hold
/// no more than this.
constexpr std::size_t largest_handshake_message = 4096;

/// How often the silence of a link is looked at within the silence time-out.
constexpr int watches_per_silence = 4;

constexpr std::string_view called_side = "called";
constexpr std::string_view calling_side = "calling";

} // namespace

peer_session::peer_session(boost::asio::ip::tcp::socket socket,
                           peer_node_settings const& settings, callbacks owner)
    : stream(std::move(socket)), watch(stream.get_executor()),
      settings(settings), owner(std::move(owner))
{
    this->apply_stream_settings();
}

void peer_session::apply_stream_settings()
{
    // Pings at half of the idle time-out find a link that is dead.
    boost::beast::websocket::stream_base::timeout limits{};
    limits.handshake_timeout = this->settings.handshake_timeout;
    limits.idle_timeout = this->settings.idle_timeout;
    limits.keep_alive_pings = true;
    this->stream.set_option(limits);
    this->stream.binary(true);
    this->stream.auto_fragment(false);
    this->stream.read_message_max(largest_handshake_message);
}

void peer_session::start_accepted()
{
    error_code ignored;
    this->stream.next_layer().socket().set_option(
        boost::asio::ip::tcp::no_delay(true), ignored);
    this->stream.async_accept(
        [self = this->shared_from_this()](error_code const& error)
        {
            if (error)
            {
                self->fail("the upgrade failed");
                return;
            }
            self->on_accepted_upgrade();
        });
}

void peer_session::start_dialled(boost::asio::ip::tcp::endpoint const& address)
{
    this->dialled = true;
    this->stream.next_layer().expires_after(this->settings.connect_timeout);
    this->stream.next_layer().async_connect(
        address,
        [self = this->shared_from_this()](error_code const& error)
        {
            if (error)
            {
                self->fail("the peer cannot be reached");
                return;
            }
            self->on_connected();
        });
}

void peer_session::on_connected()
{
    error_code ignored;
    this->stream.next_layer().socket().set_option(
        boost::asio::ip::tcp::no_delay(true), ignored);
    this->stream.next_layer().expires_never();
    this->stream.async_handshake(
        "peer", "/peer",
        [self = this->shared_from_this()](error_code const& error)
        {
            if (error)
            {
                self->fail("the upgrade failed");
                return;
            }
            self->on_dialled_upgrade();
        });
}

void peer_session::on_accepted_upgrade()
{
    this->own_nonce = make_nonce();
    this->send(encode(challenge{this->own_nonce}));
    this->read_next();
}

void peer_session::on_dialled_upgrade()
{
    this->own_nonce = make_nonce();
    this->read_next();
}

void peer_session::on_handshake_message(bytes const& message)
{
    if (!this->dialled)
    {
        this->on_hello(message);
    }
    else if (this->other_nonce.empty())
    {
        this->on_challenge(message);
    }
    else
    {
        this->on_welcome(message);
    }
}

void peer_session::on_hello(bytes const& message)
{
    absl::StatusOr<hello> const greeting = decode_hello(message);
    if (!greeting.ok())
    {
        this->fail("a stranger was turned away");
        return;
    }
    bytes const expected =
        make_proof(this->settings.key, calling_side, this->own_nonce,
                   greeting->nonce, greeting->self);
    if (!same_proof(expected, greeting->proof))
    {
        this->fail("a peer with another key was turned away");
        return;
    }
    peer_identity const& self = this->settings.self;
    this->send(encode(
        welcome{self, make_proof(this->settings.key, called_side,
                                 this->own_nonce, greeting->nonce, self)}));
    this->become_open(greeting->self);
}

void peer_session::on_challenge(bytes const& message)
{
    absl::StatusOr<challenge> const asked = decode_challenge(message);
    if (!asked.ok())
    {
        this->fail("the called side is no peer");
        return;
    }
    this->other_nonce = asked->nonce;
    peer_identity const& self = this->settings.self;
    this->send(
        encode(hello{self, this->own_nonce,
                     make_proof(this->settings.key, calling_side,
                                this->other_nonce, this->own_nonce, self)}));
    this->read_next();
}

void peer_session::on_welcome(bytes const& message)
{
    absl::StatusOr<welcome> const answer = decode_welcome(message);
    if (!answer.ok())
    {
        this->fail("the called side is no peer");
        return;
    }
    bytes const expected =
        make_proof(this->settings.key, called_side, this->other_nonce,
                   this->own_nonce, answer->self);
    if (!same_proof(expected, answer->proof))
    {
        this->fail("the called side has another key");
        return;
    }
    this->become_open(answer->self);
}

void peer_session::become_open(peer_identity const& identity)
{
    this->now_in = phase::open;
    this->peer = identity;
    this->log_link("open");
    this->stream.read_message_max(this->settings.largest_message);
    this->last_heard = std::chrono::steady_clock::now();
    this->stream.control_callback(
        [this](boost::beast::websocket::frame_type, auto)
        {
            this->last_heard = std::chrono::steady_clock::now();
        });
    if (this->dialled)
    {
        this->watch_silence();
    }
    this->owner.opened(identity);
    this->read_next();
}

void peer_session::watch_silence()
{
    this->watch.expires_after(this->settings.silence_timeout /
                              watches_per_silence);
    this->watch.async_wait(
        [self = this->shared_from_this()](error_code const& error) noexcept
        {
            if (!error && self->now_in == phase::open)
            {
                self->on_watch();
                self->watch_silence();
            }
        });
}

/// Asks for a sign of life after half of the silence time-out.
void peer_session::on_watch()
{
    duration const silence =
        std::chrono::steady_clock::now() - this->last_heard;
    if (silence >= this->settings.silence_timeout)
    {
        if (this->owner.silent)
        {
            this->owner.silent();
        }
        return;
    }
    if (silence < this->settings.silence_timeout / 2 || this->pinging)
    {
        return;
    }
    this->pinging = true;
    this->stream.async_ping({},
                            [self = this->shared_from_this()](error_code const&)
                            {
                                // A failure also ends the pending read.
                                self->pinging = false;
                            });
}

void peer_session::read_next()
{
    if (this->now_in == phase::closed)
    {
        return;
    }
    this->stream.async_read(this->buffer,
                            [self = this->shared_from_this()](
                                error_code const& error, std::size_t size)
                            {
                                if (error)
                                {
                                    self->fail(error.message());
                                    return;
                                }
                                self->on_read(size);
                            });
}

void peer_session::on_read(std::size_t size)
{
    std::uint8_t const* const first =
        static_cast<std::uint8_t const*>(this->buffer.data().data());
    bytes message(first, first + size);
    this->buffer.consume(size);
    this->last_heard = std::chrono::steady_clock::now();

    if (this->now_in == phase::handshake)
    {
        this->on_handshake_message(message);
        return;
    }
    if (this->now_in == phase::open)
    {
        this->owner.received(std::move(message));
        this->read_next();
    }
}

void peer_session::send(bytes message)
{
    if (this->now_in == phase::closed)
    {
        return;
    }
    this->backlog_size += message.size();
    if (this->backlog_size > this->settings.largest_backlog)
    {
        this->fail("the peer reads too slowly");
        return;
    }
    this->backlog.push_back(std::move(message));
    if (!this->writing)
    {
        this->write_next();
    }
}

void peer_session::write_next()
{
    this->writing = true;
    this->stream.async_write(
        boost::asio::buffer(this->backlog.front()),
        [self = this->shared_from_this()](error_code const& error, std::size_t)
        {
            self->writing = false;
            if (error)
            {
                self->fail(error.message());
                return;
            }
            self->backlog_size -= self->backlog.front().size();
            self->backlog.pop_front();
            if (!self->backlog.empty() && self->now_in != phase::closed)
            {
                self->write_next();
            }
        });
}

void peer_session::close()
{
    this->fail("this side closed it");
}

void peer_session::detach()
{
    this->owner = callbacks{
        [](peer_identity const&) {}, [](bytes const&) {}, []() {}, {}};
    this->close();
}

/// Only links to control hosts are logged: each process has few of them, and
/// depends on them.
void peer_session::log_link(std::string_view verdict) const
{
    if (this->peer.role != peer_role::control)
    {
        return;
    }
    log_line("link", "link")
        .text("control", this->peer.id.text())
        .number("incarnation",
                static_cast<std::int64_t>(this->peer.incarnation))
        .text("side", this->dialled ? calling_side : called_side)
        .text("verdict", verdict)
        .number("backlog_bytes", static_cast<std::int64_t>(this->backlog_size))
        .write();
}

void peer_session::fail(std::string_view what)
{
    if (this->now_in == phase::closed)
    {
        return;
    }
    log.debug("A link ended: {}.", what);
    if (this->now_in == phase::open)
    {
        this->log_link(what);
    }
    this->now_in = phase::closed;
    this->watch.cancel();
    this->stream.next_layer().close();
    this->owner.closed();
}

} // namespace bilberrylead::link
