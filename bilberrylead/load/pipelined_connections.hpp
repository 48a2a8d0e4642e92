#ifndef BILBERRYLEAD_LOAD_PIPELINED_CONNECTIONS_HPP
#define BILBERRYLEAD_LOAD_PIPELINED_CONNECTIONS_HPP

#include "bilberrylead/load/caller_connections.hpp"
#include "bilberrylead/load/caller_exchange.hpp"
#include "bilberrylead/load/pipelined_counts.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace bilberrylead::load
{

struct pipelined_connection;

/// Connections that carry several unanswered requests each. Answers are read
/// in the order of the requests, so that one out of order, one too many or one
/// too few shows as another request's answer (`answer_kind::not_own`) or as a
/// surplus.
class pipelined_connections
{
public:
    /// Opens connections by `opener`, which outlives it; at most `depth`
    /// requests are unanswered on each.
    pipelined_connections(caller_connections& opener, std::uint32_t depth);

    /// Sends one request, possibly behind others, and checks its answer.
    boost::asio::awaitable<exchange_result> exchange(connection_path path,
                                                     exchange_request request);

    /// What was sent so far.
    pipelined_counts const& counts() const
    {
        return this->counted;
    }

private:
    using connection_pointer = std::shared_ptr<pipelined_connection>;

    boost::asio::awaitable<connection_pointer>
    take(connection_path const& path);
    boost::asio::awaitable<exchange_result>
    exchange_in_turn(pipelined_connection& connection, std::uint64_t turn,
                     exchange_request const& request);

    caller_connections* connections;
    std::uint32_t max_unanswered;
    std::map<connection_path, std::vector<connection_pointer>> open;
    pipelined_counts counted;
};

} // namespace bilberrylead::load

#endif
