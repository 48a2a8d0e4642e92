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
#include <deque>
#include <thread>
#include <utility>
#include <vector>

namespace bilberrylead::scenario
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds silence_poll{10};
/// Bytes of a direction that wait; reading goes on while there are fewer.
constexpr std::size_t most_waiting_bytes = 1024UL * 1024;

/// The modes that all connections of a relay share.
struct relay_modes
{
    std::atomic<relay_mode> forward{relay_mode::open};
    std::atomic<relay_mode> backward{relay_mode::open};
    std::atomic<std::chrono::milliseconds> one_way{
        std::chrono::milliseconds(0)};
};

/// One connection through the relay.
class relayed : public std::enable_shared_from_this<relayed>
{
public:
    relayed(tcp::socket accepted, std::shared_ptr<relay_modes> modes)
        : caller(std::move(accepted)), called(this->caller.get_executor()),
          timer(this->caller.get_executor()), modes(std::move(modes)),
          up(this->caller, this->called, this->modes->forward),
          down(this->called, this->caller, this->modes->backward)
    {
    }

    void start(std::uint16_t target_port)
    {
        this->connect_after(this->modes->one_way.load(), target_port);
    }

private:
    /// Bytes that were read, or the end behind them.
    struct piece
    {
        steady::time_point due;
        std::vector<char> content;
        bool is_end = false;
    };

    struct direction
    {
        direction(tcp::socket& read_from, tcp::socket& write_to,
                  std::atomic<relay_mode>& shared_mode)
            : from(read_from), to(write_to), mode(shared_mode),
              pause(read_from.get_executor())
        {
        }

        tcp::socket& from;
        tcp::socket& to;
        std::atomic<relay_mode>& mode;
        std::array<char, 65536> buffer{};
        std::deque<piece> waiting;
        std::size_t waiting_bytes = 0;
        asio::steady_timer pause;
        bool is_reading = false;
        bool is_writing = false;
        bool has_ended = false;
    };

    void connect_after(steady::duration wait, std::uint16_t target_port)
    {
        this->timer.expires_after(wait);
        this->timer.async_wait(
            [self = this->shared_from_this(),
             target_port](error_code const& error)
            {
                if (!error)
                {
                    self->connect(target_port);
                }
            });
    }

    void connect(std::uint16_t target_port)
    {
        // A call into a partition hangs; it is not refused.
        if (this->modes->forward == relay_mode::silent)
        {
            this->connect_after(silence_poll, target_port);
            return;
        }
        this->called.async_connect(
            {asio::ip::address_v4::loopback(), target_port},
            [self = this->shared_from_this()](error_code const& error)
            {
                if (!error)
                {
                    self->read(self->up);
                    self->read(self->down);
                }
            });
    }

    void read(direction& way)
    {
        if (way.is_reading || way.has_ended ||
            way.waiting_bytes >= most_waiting_bytes)
        {
            return;
        }
        way.is_reading = true;
        way.from.async_read_some(asio::buffer(way.buffer),
                                 [self = this->shared_from_this(), &way](
                                     error_code const& error, std::size_t size)
                                 {
                                     way.is_reading = false;
                                     self->on_read(way, error, size);
                                 });
    }

    void on_read(direction& way, error_code const& error, std::size_t size)
    {
        way.has_ended = static_cast<bool>(error);
        way.waiting.push_back(
            {steady::now() + this->modes->one_way.load(),
             std::vector<char>(way.buffer.begin(),
                               way.buffer.begin() +
                                   static_cast<std::ptrdiff_t>(size)),
             way.has_ended});
        way.waiting_bytes += size;
        this->write_next(way);
        this->read(way);
    }

    /// Writes the oldest piece once it is due. What is due while the direction
    /// is silent waits, and so does the end itself.
    void write_next(direction& way)
    {
        if (way.is_writing || way.waiting.empty())
        {
            return;
        }
        way.is_writing = true;
        steady::time_point const now = steady::now();
        bool const is_silent = way.mode == relay_mode::silent;
        if (is_silent || way.waiting.front().due > now)
        {
            way.pause.expires_at(is_silent ? now + silence_poll
                                           : way.waiting.front().due);
            way.pause.async_wait(
                [self = this->shared_from_this(), &way](error_code const&)
                {
                    way.is_writing = false;
                    self->write_next(way);
                });
            return;
        }
        if (way.waiting.front().is_end)
        {
            error_code ignored;
            way.to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(way.to, asio::buffer(way.waiting.front().content),
                          [self = this->shared_from_this(),
                           &way](error_code const& failed, std::size_t size)
                          {
                              if (!failed)
                              {
                                  way.waiting_bytes -= size;
                                  way.waiting.pop_front();
                                  way.is_writing = false;
                                  self->write_next(way);
                                  self->read(way);
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

void relay::set_delay(std::chrono::milliseconds one_way)
{
    this->impl->modes->one_way = one_way;
}

} // namespace bilberrylead::scenario
