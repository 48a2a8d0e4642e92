#ifndef BILBERRYLEAD_LOAD_CALLER_CONNECTIONS_HPP
#define BILBERRYLEAD_LOAD_CALLER_CONNECTIONS_HPP

#include "bilberrylead/config/endpoint.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <compare>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bilberrylead::load
{

/// A caller's open connection to one host.
struct caller_connection
{
    /// The socket, with its timeouts.
    boost::beast::tcp_stream stream;
    /// Bytes that were read and not yet used.
    boost::beast::flat_buffer buffer;
    /// True once it has carried an answer.
    bool used = false;
};

/// Where a connection goes and where it comes from: callers with different
/// addresses share none.
struct connection_path
{
    /// The other side.
    config::endpoint to;
    /// Own address; empty leaves it to the system.
    std::string from;

    friend auto operator<=>(connection_path const&,
                            connection_path const&) = default;
};

/// Makes a path. A plain function, because g++ 12 destroys a braced
/// temporary within a coroutine twice.
connection_path make_path(config::endpoint const& to, std::string const& from);

/// The callers' connections that are open and idle.
class caller_connections
{
public:
    /// Makes an empty set; nothing is connected before it is asked for.
    explicit caller_connections(boost::asio::any_io_executor executor);

    /// An idle connection if `may_reuse` and there is one, else a new one;
    /// null if none can be made in time.
    boost::asio::awaitable<std::unique_ptr<caller_connection>>
    take(connection_path const& path, bool may_reuse,
         std::chrono::nanoseconds timeout);

    /// Keeps a connection whose exchange ended cleanly.
    void give_back(connection_path const& path,
                   std::unique_ptr<caller_connection> connection);

private:
    using connection_list = std::vector<std::unique_ptr<caller_connection>>;

    std::unique_ptr<caller_connection> take_idle(connection_path const& path);

    boost::asio::any_io_executor executor;
    std::map<connection_path, connection_list> idle;
};

} // namespace bilberrylead::load

#endif
