#ifndef BILBERRYLEAD_TESTS_UNIT_HTTP_STEPPED_UPSTREAM_HPP
#define BILBERRYLEAD_TESTS_UNIT_HTTP_STEPPED_UPSTREAM_HPP

#include "tests/unit/http/http_fixture.hpp"

#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bilberrylead::http
{

/// Reads what has arrived without waiting; nothing if the other side has ended
/// the connection.
inline std::optional<std::string> read_arrived(int descriptor)
{
    std::string text;
    std::array<char, 16384> piece{};
    for (;;)
    {
        ssize_t const count =
            ::recv(descriptor, piece.data(), piece.size(), MSG_DONTWAIT);
        if (count > 0)
        {
            text.append(piece.data(), static_cast<std::size_t>(count));
        }
        else if (count < 0 && errno == EAGAIN)
        {
            return text;
        }
        else
        {
            return text.empty() ? std::nullopt : std::optional(text);
        }
    }
}

/// The upstream's side of one connection. It reads at most one request, and
/// the next one only after the answer.
class upstream_side
{
public:
    explicit upstream_side(tcp::socket accepted) : socket(std::move(accepted))
    {
        // Thousands of connections must leave no ports behind in TIME_WAIT.
        this->socket.set_option(boost::asio::socket_base::linger(true, 0));
    }

    /// Takes in what has arrived; true if there was anything.
    bool step()
    {
        if (this->ended)
        {
            return false;
        }
        std::optional<std::string> const text =
            read_arrived(this->socket.native_handle());
        this->ended = not text.has_value();
        if (this->ended)
        {
            return true;
        }
        this->unread += *text;
        bool const sent = this->flush();
        return this->parse() || sent || not text->empty();
    }

    /// Sends as much as fits into the connection, the rest later.
    void send(std::string_view text)
    {
        this->unsent += text;
        this->flush();
    }

    /// Ends the answer, so that the next request is read.
    void finish()
    {
        this->request.reset();
        this->noted = false;
        this->parser.emplace();
    }

    /// Sends nothing more.
    void shut_down()
    {
        boost::system::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->finish();
    }

    /// The request that has not been answered.
    std::optional<request_text> request;
    /// For the test: true once it has seen the request.
    bool noted = false;
    /// True once the entry host has ended the connection.
    bool ended = false;

private:
    bool flush()
    {
        ssize_t const count =
            this->unsent.empty()
                ? 0
                : ::send(this->socket.native_handle(), this->unsent.data(),
                         this->unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        this->unsent.erase(0, count > 0 ? static_cast<std::size_t>(count) : 0);
        return count > 0;
    }

    bool parse()
    {
        bool used_any = false;
        while (not this->request.has_value() && not this->unread.empty())
        {
            boost::system::error_code error;
            this->parser->eager(true);
            std::size_t const used =
                this->parser->put(boost::asio::buffer(this->unread), error);
            this->unread.erase(0, used);
            used_any = used_any || used > 0;
            if (this->parser->is_done())
            {
                this->request = this->parser->release();
            }
            else if (error || used == 0)
            {
                return used_any;
            }
        }
        return used_any;
    }

    tcp::socket socket;
    std::string unread;
    std::string unsent;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser{std::in_place};
};

/// An upstream that does nothing but accept and read; the test answers.
class stepped_upstream
{
public:
    explicit stepped_upstream(boost::asio::io_context& context)
        : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        this->acceptor.non_blocking(true);
    }

    /// Where the entry host connects.
    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

    /// Takes in what has arrived; true if there was anything.
    bool step()
    {
        bool moved = false;
        for (;;)
        {
            boost::system::error_code error;
            tcp::socket accepted = this->acceptor.accept(error);
            if (error)
            {
                break;
            }
            this->sides.emplace_back(std::move(accepted));
            moved = true;
        }
        for (upstream_side& side : this->sides)
        {
            moved = side.step() || moved;
        }
        return moved;
    }

    /// All connections, also those that have ended.
    std::list<upstream_side> sides;

private:
    tcp::acceptor acceptor;
};

} // namespace bilberrylead::http

#endif
