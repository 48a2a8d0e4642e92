#include "bilberrylead/load/caller_exchange.hpp"

#include "bilberrylead/config/decimal.hpp"
#include "bilberrylead/link/bounded_parser.hpp"
#include "bilberrylead/load/beast_text.hpp"
#include "bilberrylead/load/body_pattern.hpp"
#include "bilberrylead/load/wire.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <chrono>
#include <limits>
#include <memory>
#include <span>
#include <string_view>
#include <utility>

// g++ 12 takes the coroutine frames' own new and delete for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bilberrylead::load
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Longest silence within an answer that has begun.
constexpr std::chrono::seconds progress_timeout(30);
constexpr std::chrono::seconds fetch_timeout(30);
constexpr std::uint64_t longest_come_back_s = 3'600;
constexpr std::size_t chunk_bytes = std::size_t{16} << 10U;

using answer_parser = link::response_parser<http::buffer_body>;

http::request<http::string_body> make_request(exchange_request const& given)
{
    http::request<http::string_body> request;
    bool const post = given.request_bytes > 0;
    request.method(post ? http::verb::post : http::verb::get);
    request.target(given.target);
    request.version(11);
    request.set(http::field::host, "bilberry-load");
    request.set(to_beast(caller_request_header), given.request);
    request.set(to_beast(caller_header), given.caller);
    std::chrono::milliseconds const left =
        std::chrono::ceil<std::chrono::milliseconds>(given.deadline);
    request.set(to_beast(deadline_header), std::to_string(left.count()));
    if (!given.customer_key.empty())
    {
        request.set(to_beast(customer_key_header), given.customer_key);
    }
    if (!given.key.empty())
    {
        request.set(to_beast(idempotency_header), given.key);
    }
    if (given.repeated)
    {
        request.set(to_beast(repeat_header), "1");
    }
    request.keep_alive(given.keep_alive);
    request.body().resize(given.request_bytes);
    body_pattern(given.request).fill(0, request.body());
    if (post)
    {
        request.prepare_payload();
    }
    return request;
}

/// Reads an answer's body and compares every byte with the pattern. Holds
/// one chunk, whatever the length.
asio::awaitable<answer_kind> check_body(caller_connection& connection,
                                        answer_parser& parser,
                                        exchange_request const& request)
{
    body_pattern const pattern(request.request);
    std::array<char, chunk_bytes> chunk{};
    std::uint64_t position = 0;
    beast::error_code error;
    while (!parser.is_done())
    {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        connection.stream.expires_after(progress_timeout);
        co_await http::async_read_some(
            connection.stream, connection.buffer, parser,
            asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer)
        {
            co_return answer_kind::cut;
        }
        std::size_t const size = chunk.size() - parser.get().body().size;
        if (!pattern.matches(position, std::span<char>(chunk).first(size)))
        {
            // From the first byte on it is another's; later it is damaged.
            co_return position == 0 ? answer_kind::not_own
                                    : answer_kind::not_whole;
        }
        position += size;
    }
    co_return position == request.answer_bytes ? answer_kind::done
                                               : answer_kind::not_whole;
}

/// Reads an answer's body that is not looked at; false if it is cut.
asio::awaitable<bool> skip_body(caller_connection& connection,
                                answer_parser& parser)
{
    std::array<char, chunk_bytes> chunk{};
    beast::error_code error;
    while (!parser.is_done())
    {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        connection.stream.expires_after(progress_timeout);
        co_await http::async_read_some(
            connection.stream, connection.buffer, parser,
            asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer)
        {
            co_return false;
        }
    }
    co_return true;
}

duration come_back_of(answer_parser const& parser)
{
    std::string const text = field_of(parser.get(), retry_after_header);
    return std::chrono::seconds(
        config::parse_decimal(text, longest_come_back_s).value_or(0));
}

/// What the headers claim, before the body is read.
answer_kind claim_of(answer_parser const& parser)
{
    return claimed_kind(parser.get().result_int(),
                        field_of(parser.get(), outcome_header),
                        field_of(parser.get(), not_run_header) == "1");
}

/// True if the answer names another request than the caller's.
bool names_another(answer_parser const& parser, std::string const& request)
{
    std::string const named = field_of(parser.get(), caller_request_header);
    return !named.empty() && named != request;
}

asio::awaitable<answer_kind> read_body(caller_connection& connection,
                                       answer_parser& parser,
                                       exchange_request const& request)
{
    constexpr std::string_view body_dropped_header = "Bilberry-Body-Dropped";
    answer_kind const claim = claim_of(parser);
    bool const dropped = field_of(parser.get(), body_dropped_header) == "1";
    if (claim == answer_kind::done && !dropped)
    {
        if (names_another(parser, request.request))
        {
            co_return answer_kind::not_own;
        }
        co_return co_await check_body(connection, parser, request);
    }
    bool const whole = co_await skip_body(connection, parser);
    co_return whole ? claim : answer_kind::no_answer;
}

} // namespace

asio::awaitable<bool> send_request(caller_connection& connection,
                                   exchange_request const& request)
{
    beast::error_code error;
    http::request<http::string_body> message = make_request(request);
    co_await http::async_write(
        connection.stream, message,
        asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<received_answer> receive_answer(caller_connection& connection,
                                                exchange_request const& request)
{
    received_answer received;
    beast::error_code error;
    answer_parser parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read_header(
        connection.stream, connection.buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error)
    {
        received.timed_out = error == beast::error::timeout;
        co_return received;
    }
    received.has_head = true;
    received.result.status = parser.get().result_int();
    received.result.come_back = come_back_of(parser);
    received.result.kind = co_await read_body(connection, parser, request);
    received.is_open = parser.is_done() && parser.get().keep_alive();
    co_return received;
}

asio::awaitable<exchange_result> exchange(caller_connections& connections,
                                          connection_path const& path,
                                          exchange_request const& request)
{
    exchange_result result;
    std::unique_ptr<caller_connection> connection =
        co_await connections.take(path, request.keep_alive, connect_timeout);
    if (connection == nullptr)
    {
        result.kind = answer_kind::no_connection;
        co_return result;
    }
    connection->stream.expires_after(request.deadline + late_answer_wait);
    bool const is_sent = co_await send_request(*connection, request);
    received_answer received;
    if (is_sent)
    {
        received = co_await receive_answer(*connection, request);
    }
    result = received.result;
    if (!received.has_head)
    {
        result.stale_connection = connection->used && !received.timed_out;
        co_return result;
    }
    // Bytes beyond the answer belong to no request of ours: a doubled
    // answer. Such a connection must not be used again.
    bool const clean = connection->buffer.size() == 0;
    if (clean && received.is_open && request.keep_alive)
    {
        connections.give_back(path, std::move(connection));
    }
    co_return result;
}

asio::awaitable<std::string> fetch(caller_connections& connections,
                                   connection_path const& path,
                                   std::string const& target)
{
    std::unique_ptr<caller_connection> connection =
        co_await connections.take(path, true, connect_timeout);
    if (connection == nullptr)
    {
        co_return std::string();
    }
    http::request<http::string_body> request;
    request.method(http::verb::get);
    request.target(target);
    request.version(11);
    request.set(http::field::host, "bilberry-load");
    beast::error_code error;
    connection->stream.expires_after(fetch_timeout);
    co_await http::async_write(
        connection->stream, request,
        asio::redirect_error(asio::use_awaitable, error));
    link::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (!error)
    {
        co_await http::async_read(
            connection->stream, connection->buffer, parser,
            asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || parser.get().result() != http::status::ok)
    {
        co_return std::string();
    }
    std::string body = std::move(parser.get().body());
    if (parser.get().keep_alive())
    {
        connections.give_back(path, std::move(connection));
    }
    co_return body;
}

} // namespace bilberrylead::load
