#include "relay.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <thread>
#include <utility>

namespace bilberrylead::scenario
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds silence_poll{10};

/// The modes that all connections of a relay share.
struct relay_modes
{
    std::atomic<relay_mode> forward{relay_mode::open};
    std::atomic<relay_mode> backward{relay_mode::open};
};

/// One connection through the relay.
class relayed : public std::enable_shared_from_this<relayed>
{
public:
    relayed(tcp::socket accepted, std::shared_ptr<relay_modes> modes)
        : caller(std::move(accepted)), called(this->caller.get_executor()),
          timer(this->caller.get_executor()), modes(std::move(modes)),
          up{this->caller, this->called, this->modes->forward, {}, {}},
          down{this->called, this->caller, this->modes->backward, {}, {}}
    {
    }

    void start(std::uint16_t target_port)
    {
        // A call into a partition hangs; it is not refused.
        if (this->modes->forward == relay_mode::silent)
        {
            this->timer.expires_after(silence_poll);
            this->timer.async_wait(
                [self = this->shared_from_this(),
                 target_port](error_code const& error)
                {
                    if (!error)
                    {
                        self->start(target_port);
                    }
                });
            return;
        }
        this->called.async_connect(
            {asio::ip::address_v4::loopback(), target_port},
            [self = this->shared_from_this()](error_code const& error)
            {
                if (!error)
                {
                    self->pass(self->up);
                    self->pass(self->down);
                }
            });
    }

private:
    struct direction
    {
        tcp::socket& from;
        tcp::socket& to;
        std::atomic<relay_mode>& mode;
        std::array<char, 65536> buffer;
        std::unique_ptr<asio::steady_timer> pause;
    };

    void pass(direction& way)
    {
        way.from.async_read_some(asio::buffer(way.buffer),
                                 [self = this->shared_from_this(), &way](
                                     error_code const& error, std::size_t size)
                                 {
                                     self->on_read(way, error, size);
                                 });
    }

    void on_read(direction& way, error_code const& error, std::size_t size)
    {
        // What arrives while silent waits, and so does the end itself.
        if (way.mode == relay_mode::silent)
        {
            way.pause = std::make_unique<asio::steady_timer>(
                way.from.get_executor(), silence_poll);
            way.pause->async_wait(
                [self = this->shared_from_this(), &way, error,
                 size](error_code const&)
                {
                    self->on_read(way, error, size);
                });
            return;
        }
        if (error)
        {
            error_code ignored;
            way.to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(way.to, asio::buffer(way.buffer.data(), size),
                          [self = this->shared_from_this(),
                           &way](error_code const& failed, std::size_t)
                          {
                              if (!failed)
                              {
                                  self->pass(way);
                              }
                          });
    }

    tcp::socket caller;
    tcp::socket called;
    asio::steady_timer timer;
    std::shared_ptr<relay_modes> modes;
    direction up;
    direction down;
};

} // namespace

/// The relay's thread and what it works on.
struct relay::implementation
{
    explicit implementation(std::uint16_t target)
        : acceptor(io, {asio::ip::address_v4::loopback(), 0}),
          target_port(target)
    {
        this->accept_next();
        this->thread = std::thread(
            [this]()
            {
                this->io.run();
            });
    }

    ~implementation()
    {
        this->io.stop();
        this->thread.join();
    }

    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;

    void accept_next()
    {
        this->acceptor.async_accept(
            [this](error_code const& error, tcp::socket socket)
            {
                if (!error)
                {
                    std::make_shared<relayed>(std::move(socket), this->modes)
                        ->start(this->target_port);
                }
                this->accept_next();
            });
    }

    asio::io_context io{1};
    tcp::acceptor acceptor;
    std::uint16_t target_port;
    std::shared_ptr<relay_modes> modes = std::make_shared<relay_modes>();
    std::thread thread;
};

relay::relay(std::uint16_t target_port)
    : impl(std::make_unique<implementation>(target_port))
{
}

relay::~relay() = default;

std::uint16_t relay::port() const
{
    return this->impl->acceptor.local_endpoint().port();
}

void relay::set(relay_mode forward, relay_mode backward)
{
    this->impl->modes->forward = forward;
    this->impl->modes->backward = backward;
}

} // namespace bilberrylead::scenario
