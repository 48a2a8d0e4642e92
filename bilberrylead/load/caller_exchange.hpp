#ifndef BILBERRYLEAD_LOAD_CALLER_EXCHANGE_HPP
#define BILBERRYLEAD_LOAD_CALLER_EXCHANGE_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/load/answer_kind.hpp"
#include "bilberrylead/load/caller_connections.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace bilberrylead::load
{

/// How long after its deadline a caller still waits, to tell a late answer
/// from none.
inline constexpr std::chrono::seconds late_answer_wait(5);

/// Longest time to open a connection.
inline constexpr std::chrono::seconds connect_timeout(3);

/// What one attempt sends and what it must get back.
struct exchange_request
{
    /// Path and query.
    std::string target;
    /// The caller's id of the request; its answer's body follows from it.
    std::string request;
    /// Idempotency-Key; empty sends none.
    std::string key;
    /// True: an earlier sending had no answer and may have run.
    bool repeated = false;
    /// Who sends it.
    std::string caller;
    /// Key of the customer that it is sent for; empty sends none.
    std::string customer_key;
    /// Length of its body; 0 sends a GET.
    std::size_t request_bytes = 0;
    /// Length that a "done" answer must have.
    std::uint64_t answer_bytes = 0;
    /// Time the caller gives it; the deadline header.
    duration deadline{};
    /// True: it may use and leave an open connection.
    bool keep_alive = true;
};

/// How one attempt ended.
struct exchange_result
{
    /// As the caller sees it, after the check of every byte.
    answer_kind kind = answer_kind::no_answer;
    /// HTTP status; 0 without an answer.
    unsigned status = 0;
    /// When to come back, as the answer says; zero if it does not.
    duration come_back{};
    /// True: the connection had carried another answer before and ended
    /// before the first byte of this one.
    bool stale_connection = false;
};

/// Sends one request and checks its answer: length, every byte, whose it
/// is. Never throws.
boost::asio::awaitable<exchange_result>
exchange(caller_connections& connections, connection_path const& path,
         exchange_request const& request);

/// Sends a request over a connection; false if it failed. The stream's
/// timeout must be set.
boost::asio::awaitable<bool> send_request(caller_connection& connection,
                                          exchange_request const& request);

/// An answer that was read from a connection.
struct received_answer
{
    /// What the caller sees; `stale_connection` is not set.
    exchange_result result;
    /// True if a head was read.
    bool has_head = false;
    /// True if nothing was read before the stream's timeout.
    bool timed_out = false;
    /// True if it was read to its end and the connection stays open.
    bool is_open = false;
};

/// Reads and checks the answer to a request that was sent. The stream's
/// timeout applies to the head.
boost::asio::awaitable<received_answer>
receive_answer(caller_connection& connection, exchange_request const& request);

/// Fetches a page of text; empty if it cannot be had in time.
boost::asio::awaitable<std::string> fetch(caller_connections& connections,
                                          connection_path const& path,
                                          std::string const& target);

} // namespace bilberrylead::load

#endif
