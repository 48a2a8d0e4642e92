#ifndef BILBERRYLEAD_TESTS_LINK_HOLDING_PROXY_HPP
#define BILBERRYLEAD_TESTS_LINK_HOLDING_PROXY_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace bilberrylead::tests
{

/// Forwards connections to a port of this machine, and holds what arrives on
/// those that are to be held. It loses nothing.
class holding_proxy
{
public:
    using tcp = boost::asio::ip::tcp;

    holding_proxy(boost::asio::io_context& context, std::uint16_t target)
        : io(context),
          target_address(boost::asio::ip::address_v4::loopback(), target),
          acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        this->accept_next();
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

    /// Holds what arrives on all connections made so far, and on later ones
    /// if `later` is set.
    void hold(bool later)
    {
        this->holds_later = later;
        for (std::shared_ptr<connection> const& each : this->connections)
        {
            each->held = true;
        }
    }

    /// Forwards what was held, and what arrives from now on.
    void release()
    {
        this->holds_later = false;
        for (std::shared_ptr<connection> const& each : this->connections)
        {
            each->held = false;
            for (std::pair<tcp::socket*, std::vector<char>>& waiting :
                 std::exchange(each->waiting, {}))
            {
                forward(each, *waiting.first, waiting.second);
            }
        }
    }

private:
    struct connection
    {
        explicit connection(boost::asio::io_context& io) : near(io), far(io)
        {
        }

        tcp::socket near;
        tcp::socket far;
        std::array<char, 4096> from_near{};
        std::array<char, 4096> from_far{};
        bool held = false;
        std::vector<std::pair<tcp::socket*, std::vector<char>>> waiting;
    };

    void accept_next()
    {
        std::shared_ptr<connection> const made =
            std::make_shared<connection>(this->io);
        this->acceptor.async_accept(
            made->near,
            [this, made](boost::system::error_code const& error)
            {
                if (error)
                {
                    return;
                }
                boost::system::error_code ignored;
                made->held = this->holds_later;
                made->far.connect(this->target_address, ignored);
                this->connections.push_back(made);
                pump(made, made->near, made->far, made->from_near);
                pump(made, made->far, made->near, made->from_far);
                this->accept_next();
            });
    }

    static void pump(std::shared_ptr<connection> const& on, tcp::socket& from,
                     tcp::socket& to, std::array<char, 4096>& buffer)
    {
        from.async_read_some(
            boost::asio::buffer(buffer),
            [on, &from, &to, &buffer](boost::system::error_code const& error,
                                      std::size_t size)
            {
                if (error)
                {
                    boost::system::error_code ignored;
                    to.close(ignored);
                    return;
                }
                std::vector<char> content(
                    buffer.begin(),
                    buffer.begin() + static_cast<std::ptrdiff_t>(size));
                if (on->held)
                {
                    on->waiting.emplace_back(&to, std::move(content));
                }
                else
                {
                    forward(on, to, content);
                }
                pump(on, from, to, buffer);
            });
    }

    /// Few bytes, which the socket's buffer takes at once.
    static void forward(std::shared_ptr<connection> const& on, tcp::socket& to,
                        std::vector<char> const& content)
    {
        boost::system::error_code ignored;
        if (on->near.is_open() && on->far.is_open())
        {
            boost::asio::write(to, boost::asio::buffer(content), ignored);
        }
    }

    boost::asio::io_context& io;
    tcp::endpoint target_address;
    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<connection>> connections;
    bool holds_later = false;
};

} // namespace bilberrylead::tests

#endif
