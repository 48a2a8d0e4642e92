#include "bilberrylead/load/caller_connections.hpp"

#include "bilberrylead/link/quiet_socket.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

// g++ 12 takes the coroutine frames' own new and delete for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bilberrylead::load
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

/// Binds to the caller's own address; the port is the system's choice.
void bind_source(tcp::socket& socket, std::string const& source,
                 beast::error_code& error)
{
    asio::ip::address const address = asio::ip::make_address(source, error);
    if (error)
    {
        return;
    }
    tcp::endpoint const place(address, 0);
    socket.open(place.protocol(), error);
    if (!error)
    {
        socket.bind(place, error);
    }
}

std::unique_ptr<caller_connection>
make_connection(asio::any_io_executor const& executor)
{
    return std::make_unique<caller_connection>(
        caller_connection{beast::tcp_stream(executor), {}, false});
}

} // namespace

connection_path make_path(config::endpoint const& to, std::string const& from)
{
    return {to, from};
}

caller_connections::caller_connections(asio::any_io_executor runs_on)
    : executor(std::move(runs_on))
{
}

asio::awaitable<std::unique_ptr<caller_connection>>
caller_connections::take(connection_path const& path, bool may_reuse,
                         std::chrono::nanoseconds timeout)
{
    if (may_reuse)
    {
        std::unique_ptr<caller_connection> kept = this->take_idle(path);
        if (kept != nullptr)
        {
            co_return kept;
        }
    }
    std::unique_ptr<caller_connection> connection =
        make_connection(this->executor);
    beast::error_code error;
    if (!path.from.empty())
    {
        bind_source(connection->stream.socket(), path.from, error);
    }
    tcp::endpoint const place(asio::ip::make_address(path.to.address),
                              path.to.port);
    if (!error)
    {
        connection->stream.expires_after(timeout);
        co_await connection->stream.async_connect(
            place, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error)
    {
        co_return nullptr;
    }
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    co_return connection;
}

std::unique_ptr<caller_connection>
caller_connections::take_idle(connection_path const& path)
{
    connection_list& open = this->idle[path];
    while (!open.empty())
    {
        std::unique_ptr<caller_connection> connection = std::move(open.back());
        open.pop_back();
        if (connection->buffer.size() == 0 &&
            link::is_quiet(connection->stream.socket().native_handle()))
        {
            return connection;
        }
    }
    return nullptr;
}

void caller_connections::give_back(
    connection_path const& path, std::unique_ptr<caller_connection> connection)
{
    connection->used = true;
    connection->stream.expires_never();
    this->idle[path].push_back(std::move(connection));
}

} // namespace bilberrylead::load
