#include "bilberrylead/load/pipelined_connections.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

// g++ 12 takes the coroutine frames' own new and delete for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bilberrylead::load
{

namespace asio = boost::asio;

/// A connection and whose turn it is to write and to read.
struct pipelined_connection
{
    explicit pipelined_connection(std::unique_ptr<caller_connection> opened)
        : connection(std::move(opened)),
          turn_changed(connection->stream.get_executor())
    {
    }

    /// Waits until the turn has changed.
    asio::awaitable<void> wait()
    {
        this->turn_changed.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code error;
        co_await this->turn_changed.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
    }

    /// Ends the use of the connection; requests behind have no answer.
    void end(bool closed_after_an_answer)
    {
        this->is_usable = false;
        this->is_closed_after_answer = closed_after_an_answer;
        this->turn_changed.cancel();
    }

    std::unique_ptr<caller_connection> connection;
    asio::steady_timer turn_changed;
    std::uint64_t requests = 0;
    std::uint64_t written = 0;
    std::uint64_t answered = 0;
    bool is_usable = true;
    bool is_closed_after_answer = false;
};

pipelined_connections::pipelined_connections(caller_connections& opener,
                                             std::uint32_t depth)
    : connections(&opener), max_unanswered(depth)
{
}

asio::awaitable<pipelined_connections::connection_pointer>
pipelined_connections::take(connection_path const& path)
{
    std::vector<connection_pointer>& all = this->open[path];
    std::erase_if(all,
                  [](connection_pointer const& each)
                  {
                      return !each->is_usable;
                  });
    for (connection_pointer const& each : all)
    {
        if (each->requests - each->answered < this->max_unanswered)
        {
            co_return each;
        }
    }
    std::unique_ptr<caller_connection> opened =
        co_await this->connections->take(path, false, connect_timeout);
    if (opened == nullptr)
    {
        co_return nullptr;
    }
    connection_pointer const made =
        std::make_shared<pipelined_connection>(std::move(opened));
    this->open[path].push_back(made);
    co_return made;
}

asio::awaitable<exchange_result>
pipelined_connections::exchange(connection_path path, exchange_request request)
{
    connection_pointer const connection = co_await this->take(path);
    if (connection == nullptr)
    {
        exchange_result result;
        result.kind = answer_kind::no_connection;
        co_return result;
    }
    std::uint64_t const turn = connection->requests++;
    this->counted.sent_ahead += turn > connection->answered ? 1U : 0U;
    co_return co_await this->exchange_in_turn(*connection, turn, request);
}

asio::awaitable<exchange_result>
pipelined_connections::exchange_in_turn(pipelined_connection& connection,
                                        std::uint64_t turn,
                                        exchange_request const& request)
{
    caller_connection& wire = *connection.connection;
    exchange_result result;
    while (connection.is_usable && connection.written != turn)
    {
        co_await connection.wait();
    }
    if (connection.is_usable)
    {
        wire.stream.expires_after(request.deadline + late_answer_wait);
        bool const is_sent = co_await send_request(wire, request);
        ++connection.written;
        connection.turn_changed.cancel();
        if (!is_sent)
        {
            connection.end(connection.answered > 0);
        }
    }
    while (connection.is_usable && connection.answered != turn)
    {
        co_await connection.wait();
    }
    if (!connection.is_usable)
    {
        result.stale_connection = connection.is_closed_after_answer;
        co_return result;
    }
    wire.stream.expires_after(request.deadline + late_answer_wait);
    received_answer const received = co_await receive_answer(wire, request);
    result = received.result;
    result.stale_connection =
        !received.has_head && !received.timed_out && connection.answered > 0;
    ++connection.answered;
    bool const is_last = connection.answered == connection.requests;
    bool const has_surplus = is_last && wire.buffer.size() > 0;
    this->counted.surplus_answers += has_surplus ? 1U : 0U;
    if (!received.is_open || has_surplus || result.kind == answer_kind::not_own)
    {
        connection.end(received.has_head || connection.answered > 1);
    }
    connection.turn_changed.cancel();
    co_return result;
}

} // namespace bilberrylead::load
