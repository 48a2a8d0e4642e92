#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/load/beast_text.hpp"
#include "bilberrylead/load/body_pattern.hpp"
#include "bilberrylead/load/stand_in_connection.hpp"
#include "bilberrylead/load/wire.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <span>
#include <vector>

// g++ 12 takes the coroutine frames' own new and delete for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bilberrylead::load
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t chunk_bytes = std::size_t{16} << 10U;
/// Above this a digest would cost more than the answer; callers that check
/// the pattern need none.
constexpr std::uint64_t largest_digested = std::uint64_t{1} << 20U;
/// A caller that takes nothing for this long is given up.
constexpr std::chrono::seconds write_timeout(60);

std::string digest_of(body_pattern const& pattern, std::uint64_t length)
{
    std::vector<char> body(length);
    pattern.fill(0, body);
    return fmt::format("{:016x}", XXH3_64bits(body.data(), body.size()));
}

} // namespace

void stand_in_connection::add_load(http::fields& fields) const
{
    std::string const load = this->upstream->model.load_header(clock_now());
    if (!load.empty())
    {
        fields.set(to_beast(load_header), load);
    }
}

asio::awaitable<bool>
stand_in_connection::write_text(request_type const& request, unsigned status,
                                std::string_view body)
{
    http::response<http::string_body> response;
    response.version(request.version());
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    this->add_load(response);
    response.body() = body;
    response.prepare_payload();
    beast::error_code error;
    co_await http::async_write(
        this->stream, response,
        asio::redirect_error(asio::use_awaitable, error));
    co_return !error && response.keep_alive();
}

asio::awaitable<bool>
stand_in_connection::write_refusal(request_type const& request, unsigned status,
                                   bool not_run)
{
    answer value;
    value.status = status;
    value.not_run = not_run;
    value.belongs_to.caller_request = field_of(request, caller_request_header);
    value.belongs_to.request_id = field_of(request, request_id_header);
    co_return co_await this->write_answer(request, value);
}

void stand_in_connection::fill_header(request_type const& request,
                                      answer const& value,
                                      response_type& response) const
{
    answered_request const& owner = value.belongs_to;
    response.version(request.version());
    response.result(value.status);
    response.content_length(value.body_bytes);
    response.set(http::field::content_type, "application/octet-stream");
    response.set(to_beast(caller_request_header), owner.caller_request);
    response.set(to_beast(request_id_header), owner.request_id);
    if (value.body_bytes <= largest_digested)
    {
        response.set(
            to_beast(digest_header),
            digest_of(body_pattern(owner.caller_request), value.body_bytes));
    }
    if (value.not_run)
    {
        response.set(to_beast(not_run_header), "1");
    }
    duration const rest = this->upstream->model.behaviour.rest;
    if (value.not_run && rest > duration::zero())
    {
        response.set(
            to_beast(retry_after_header),
            fmt::format("{:.3f}", std::chrono::duration<double>(rest).count()));
    }
    std::uint32_t const limit = this->upstream->model.behaviour.limit_per_s;
    if (limit > 0)
    {
        response.set(to_beast(limit_header), std::to_string(limit));
    }
    this->add_load(response);
    bool const leaving = this->upstream->model.behaviour.leaving;
    if (leaving)
    {
        response.set(to_beast(leaving_header), "1");
    }
    response.keep_alive(request.keep_alive() && !leaving);
}

asio::awaitable<bool>
stand_in_connection::write_answer(request_type const& request,
                                  answer const& value)
{
    if (this->silent)
    {
        co_await this->swallow();
        co_return false;
    }
    response_type response;
    this->fill_header(request, value, response);
    response.body().data = nullptr;
    response.body().size = 0;
    response.body().more = value.body_bytes > 0;
    http::response_serializer<http::buffer_body> serializer(response);
    beast::error_code error;
    this->stream.expires_after(write_timeout);
    co_await http::async_write_header(
        this->stream, serializer,
        asio::redirect_error(asio::use_awaitable, error));
    bool const sent =
        !error && co_await this->write_body(value, response, serializer);
    this->stream.expires_never();
    co_return sent && !value.close && response.keep_alive();
}

asio::awaitable<bool>
stand_in_connection::write_body(answer const& value, response_type& response,
                                serializer_type& serializer)
{
    // In chunks, so that an answer of any length needs one buffer; a cut
    // answer simply stops early.
    body_pattern const pattern(value.belongs_to.caller_request);
    std::array<char, chunk_bytes> chunk{};
    std::uint64_t position = 0;
    instant const first = clock_now();
    while (position < value.sent_bytes)
    {
        std::uint64_t const left = value.sent_bytes - position;
        std::size_t const size = std::min<std::uint64_t>(left, chunk_bytes);
        pattern.fill(position, std::span<char>(chunk).first(size));
        position += size;
        response.body().data = chunk.data();
        response.body().size = size;
        response.body().more = position < value.body_bytes;
        beast::error_code error;
        this->stream.expires_after(write_timeout);
        co_await http::async_write(
            this->stream, serializer,
            asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer)
        {
            co_return false;
        }
        if (value.bytes_per_s > 0)
        {
            std::chrono::duration<double> const due(
                static_cast<double>(position) /
                static_cast<double>(value.bytes_per_s));
            co_await this->pause_until(
                first + std::chrono::duration_cast<duration>(due));
        }
        if (this->silent)
        {
            co_await this->swallow();
            co_return false;
        }
    }
    co_return true;
}

} // namespace bilberrylead::load
