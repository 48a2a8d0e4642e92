#include "bilberrylead/load/stand_in_connection.hpp"

#include "bilberrylead/config/decimal.hpp"
#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/link/bounded_parser.hpp"
#include "bilberrylead/load/beast_text.hpp"
#include "bilberrylead/load/stand_in_admin.hpp"
#include "bilberrylead/load/wire.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <optional>
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

constexpr std::uint64_t largest_body = std::uint64_t{1} << 30U;
constexpr instant never = instant::max();
/// Exit code of the process when a request ends it.
constexpr int exit_crashed = 70;

answered_request name_of(http::request<http::string_body> const& request)
{
    return {field_of(request, caller_request_header),
            field_of(request, request_id_header)};
}

} // namespace

stand_in_connection::stand_in_connection(asio::ip::tcp::socket socket,
                                         stand_in_upstream& owner)
    : stream(std::move(socket)), timer(stream.get_executor()), upstream(&owner)
{
    this->upstream->connections.insert(this);
}

stand_in_connection::~stand_in_connection()
{
    this->upstream->connections.erase(this);
    this->upstream->model.connection_closed();
}

void stand_in_connection::grant_slot()
{
    this->granted = true;
    this->timer.cancel();
}

void stand_in_connection::go_silent()
{
    this->silent = true;
}

asio::awaitable<void> stand_in_connection::serve()
{
    beast::error_code error;
    this->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    bool open = true;
    while (open)
    {
        link::request_parser<http::string_body> parser;
        parser.body_limit(largest_body);
        co_await http::async_read(
            this->stream, this->buffer, parser,
            asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            break;
        }
        if (this->silent)
        {
            co_await this->swallow();
            break;
        }
        open = co_await this->handle(parser.get());
    }
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, error);
}

asio::awaitable<bool> stand_in_connection::handle(request_type const& request)
{
    target_parts const target = split_target(from_beast(request.target()));
    if (!is_admin_path(target.path))
    {
        co_return co_await this->handle_work(request);
    }
    admin_request const admin{from_beast(request.method_string()), target.path,
                              target.query, request.body()};
    std::array<stand_in_upstream*, 1> const self = {this->upstream};
    admin_answer const result =
        handle_admin(admin, self, clock_now(), wall_clock_now());
    co_return co_await this->write_text(request, result.status, result.body);
}

asio::awaitable<bool>
stand_in_connection::handle_work(request_type const& request)
{
    this->peer_gone = false;
    instant const deadline = this->deadline_of(request);
    arrival const decision = this->upstream->model.arrive(clock_now());
    if (decision == arrival::shed)
    {
        co_return co_await this->write_refusal(request, 503, true);
    }
    this->watch_peer();
    if (decision == arrival::wait)
    {
        bool const has_slot = co_await this->wait_for_slot(deadline);
        if (!has_slot)
        {
            this->stop_watching();
            bool const gone = this->is_cancelled();
            gone ? this->upstream->model.cancelled()
                 : this->upstream->model.expired();
            co_return !gone && co_await this->write_refusal(request, 503, true);
        }
    }
    co_return co_await this->run_work(request, deadline);
}

asio::awaitable<bool> stand_in_connection::wait_for_slot(instant deadline)
{
    this->granted = false;
    this->upstream->waiters.push_back(this);
    while (!this->granted && !this->is_cancelled() && clock_now() < deadline)
    {
        co_await this->pause_until(deadline);
    }
    if (!this->granted)
    {
        std::erase(this->upstream->waiters, this);
        this->upstream->model.leave_queue();
        co_return false;
    }
    if (this->is_cancelled())
    {
        // The slot came in the same moment as the caller's end: it was not
        // used, so nothing ran.
        this->upstream->release_slot(clock_now());
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> stand_in_connection::run_work(request_type const& request,
                                                    instant deadline)
{
    upstream_model& model = this->upstream->model;
    work_lot const lot =
        model.start(field_of(request, caller_request_header),
                    field_of(request, idempotency_header), clock_now());
    instant const work_end = clock_now() + lot.work;
    while (clock_now() < std::min(work_end, deadline) && !this->is_cancelled())
    {
        co_await this->pause_until(std::min(work_end, deadline));
    }
    this->stop_watching();
    bool const gone = this->is_cancelled();
    bool const expired = clock_now() < work_end;
    target_parts const target = split_target(from_beast(request.target()));
    if (!gone && !expired && query_field(target.query, "crash") == "1")
    {
        std::_Exit(exit_crashed);
    }
    bool const download = target.path.ends_with("/download");
    if (gone || expired || !download)
    {
        this->upstream->release_slot(clock_now());
    }
    if (gone)
    {
        model.cancelled();
        co_return false;
    }
    if (expired)
    {
        model.expired();
        co_return co_await this->write_refusal(request, 504, false);
    }
    co_return co_await this->answer_work(request, lot, download);
}

asio::awaitable<bool>
stand_in_connection::answer_work(request_type const& request,
                                 work_lot const& lot, bool download)
{
    upstream_model& model = this->upstream->model;
    if (lot.late > duration::zero())
    {
        co_await this->pause_until(clock_now() + lot.late);
    }
    target_parts const target = split_target(from_beast(request.target()));
    answered_request const own = name_of(request);
    answer value;
    // The very first answer has no earlier one to be swapped with.
    bool const swapped =
        lot.swapped && !this->upstream->last_answered.caller_request.empty();
    value.belongs_to = swapped ? this->upstream->last_answered : own;
    value.body_bytes =
        config::parse_decimal(query_field(target.query, "bytes"), largest_body)
            .value_or(model.behaviour.answer_bytes);
    value.sent_bytes = lot.cut ? value.body_bytes / 2 : value.body_bytes;
    value.bytes_per_s = download ? model.behaviour.download_bytes_per_s : 0;
    value.close = lot.cut;
    this->upstream->last_answered = own;
    bool open = !lot.dropped && co_await this->write_answer(request, value);
    if (open && lot.duplicated)
    {
        open = co_await this->write_answer(request, value);
    }
    if (download)
    {
        this->upstream->release_slot(clock_now());
    }
    bool const whole = open || lot.cut || lot.dropped || !request.keep_alive();
    whole ? model.finished() : model.cancelled();
    co_return open;
}

asio::awaitable<void> stand_in_connection::pause_until(instant until)
{
    this->timer.expires_after(until - clock_now());
    beast::error_code error;
    co_await this->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<void> stand_in_connection::swallow()
{
    this->stream.expires_never();
    std::array<char, 1'024> scratch{};
    beast::error_code error;
    while (!error)
    {
        co_await this->stream.async_read_some(
            asio::buffer(scratch),
            asio::redirect_error(asio::use_awaitable, error));
    }
}

instant stand_in_connection::deadline_of(request_type const& request) const
{
    constexpr std::uint64_t longest_ms = 86'400'000;
    std::optional<std::uint64_t> const left =
        config::parse_decimal(field_of(request, deadline_header), longest_ms);
    if (!left.has_value() || !this->upstream->model.behaviour.honours_deadlines)
    {
        return never;
    }
    return clock_now() + std::chrono::milliseconds(*left);
}

bool stand_in_connection::is_cancelled() const
{
    return this->peer_gone && !this->silent &&
           this->upstream->model.behaviour.honours_cancellation;
}

void stand_in_connection::watch_peer()
{
    std::shared_ptr<stand_in_connection> const self = this->shared_from_this();
    this->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [self](beast::error_code error)
        {
            beast::error_code ignored;
            // Readable with nothing to read is the other side's end;
            // readable with bytes is the next request.
            if (!error && self->stream.socket().available(ignored) == 0)
            {
                self->peer_gone = true;
                self->timer.cancel();
            }
        });
}

void stand_in_connection::stop_watching()
{
    beast::error_code ignored;
    this->stream.socket().cancel(ignored);
}

} // namespace bilberrylead::load
