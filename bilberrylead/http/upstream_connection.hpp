#ifndef BILBERRYLEAD_HTTP_UPSTREAM_CONNECTION_HPP
#define BILBERRYLEAD_HTTP_UPSTREAM_CONNECTION_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/read_limits.hpp"
#include "bilberrylead/http/net.hpp"

namespace bilberrylead::http
{

/// One TCP connection to an upstream. Carries one exchange at a time and
/// is used again only after a whole request and its whole answer.
struct upstream_connection
{
    /// Makes one that is not connected yet.
    upstream_connection(executor const& where, config::endpoint peer)
        : socket(where), upstream(std::move(peer))
    {
    }

    /// Largest head of an answer.
    static constexpr std::uint32_t largest_answer_head = std::uint32_t{64}
                                                         << 10U;

    /// True if the other side has closed it, or has sent bytes that answer
    /// nothing: whatever comes next on it cannot be told apart.
    bool spoiled();

    /// True if the other side has not acknowledged all bytes that were written.
    bool has_unacknowledged();

    /// The socket.
    tcp_socket socket;
    /// Bytes read beyond what was parsed.
    beast::flat_buffer buffer{largest_answer_head + max_unparsed_bytes};
    /// Where it leads.
    config::endpoint upstream;
    /// When it was opened.
    instant connected_at = instant::max();
    /// When the other side was last heard.
    instant last_heard{};
    /// True once it has carried a whole exchange.
    bool reused = false;
};

} // namespace bilberrylead::http

#endif
