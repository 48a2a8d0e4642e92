#include "bilberrylead/http/upstream_exchange.hpp"

#include "bilberrylead/http/decimal_header.hpp"
#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/header_rules.hpp"
#include "bilberrylead/http/load_header.hpp"
#include "bilberrylead/http/retry_after_header.hpp"
#include "bilberrylead/http/upstream_connection.hpp"
#include "bilberrylead/http/upstream_pool.hpp"
#include "bilberrylead/link/connection_guard.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberrylead::http
{

namespace
{

/// A refusal's body up to this is read, so that its connection is kept.
constexpr std::uint64_t largest_refusal = 4096;
constexpr std::size_t piece_size = std::size_t{16} << 10U;

bool carries_word(answer_parser const& parser, std::string const& name)
{
    return !name.empty() && parser.get()[name] == "1";
}

} // namespace

void upstream_exchange::report_signals(bool misdirected)
{
    entry::upstream_signals_received signals;
    signals.request = this->request->number;
    signals.service = this->order.service;
    signals.upstream = this->order.upstream;
    signals.incarnation = this->order.incarnation;
    signals.connected_at = this->connection->connected_at;
    signals.misdirected = misdirected;
    if (!misdirected)
    {
        signals.leaving =
            std::any_of(this->names.leaving.begin(), this->names.leaving.end(),
                        [this](std::string const& name)
                        {
                            return carries_word(*this->parser, name);
                        });
        this->add_rest(signals);
        this->add_limit(signals);
    }
    this->report(signals);
}

void upstream_exchange::add_rest(
    entry::upstream_signals_received& signals) const
{
    beast::string_view const delay =
        this->parser->get()[beast::http::field::retry_after];
    if (!delay.empty() && this->parser->get().result() ==
                              beast::http::status::service_unavailable)
    {
        signals.rest = read_retry_after({delay.data(), delay.size()});
        signals.rest_readable = signals.rest.has_value();
    }
}

void upstream_exchange::add_limit(
    entry::upstream_signals_received& signals) const
{
    for (std::string const& name : this->names.limit)
    {
        beast::string_view const limit = this->parser->get()[name];
        if (!limit.empty())
        {
            signals.limit = read_decimal({limit.data(), limit.size()});
            signals.limit_readable = signals.limit.has_value();
            return;
        }
    }
}

task<void> upstream_exchange::report_head()
{
    entry::upstream_head_received head;
    head.request = this->request->number;
    head.status = this->parser->get().result_int();
    bool const turned_away = this->parser->get().result() ==
                             beast::http::status::misdirected_request;
    head.misdirected = turned_away && !this->names.expected_upstream.empty();
    if (this->order.to_entry_host)
    {
        // Whatever another entry host answers is its own final answer.
        head.misdirected = false;
        this->start_answer(head);
        co_return;
    }
    head.not_run = head.misdirected || this->says_not_run();
    // Reported before the body is read, which may never end.
    this->report_signals(head.misdirected);
    if (this->over)
    {
        co_return;
    }
    if (!this->names.load.empty())
    {
        beast::string_view const load = this->parser->get()[this->names.load];
        head.load = read_load({load.data(), load.size()});
        if (!load.empty() && !head.load.has_value())
        {
            ++this->pool.counters().load_reports_unreadable;
        }
    }
    if (head.not_run && this->parser->content_length().value_or(
                            largest_refusal + 1) <= largest_refusal)
    {
        // Read to its end first: a shed request should not cost the
        // connection, too.
        std::vector<char> piece(largest_refusal);
        error_code error;
        this->parser->get().body().data = piece.data();
        this->parser->get().body().size = piece.size();
        this->give_up_at = clock_now() + this->order.progress_timeout;
        co_await beast::http::async_read(this->connection->socket,
                                         this->connection->buffer,
                                         *this->parser, to_task(error));
        if (this->over)
        {
            co_return;
        }
        if (!error)
        {
            this->finish();
        }
    }
    this->start_answer(head);
}

/// Reports a head, unless the body behind it could never be shown to be whole.
/// The body of an answer "not run" is not passed on.
void upstream_exchange::start_answer(entry::upstream_head_received const& head)
{
    if (!head.not_run && !this->can_end())
    {
        this->fail(entry::exchange_fault::connection_lost);
        return;
    }
    this->give_up_at = instant::max();
    this->phase = entry::exchange_phase::answer_started;
    this->report(head);
}

bool upstream_exchange::says_not_run() const
{
    if (this->names.not_run_needs_503)
    {
        return this->parser->get().result() ==
                   beast::http::status::service_unavailable &&
               carries_word(*this->parser, this->names.not_run);
    }
    return !this->parser->get()[this->names.not_run].empty();
}

/// What a failed read of an answer's body means.
entry::exchange_fault upstream_exchange::fault_of(error_code const& error) const
{
    if (this->timed_out)
    {
        return entry::exchange_fault::no_response;
    }
    bool const too_large = error == beast::http::error::buffer_overflow ||
                           error == beast::http::error::header_limit;
    return too_large ? entry::exchange_fault::bad_answer
                     : entry::exchange_fault::connection_lost;
}

task<std::size_t> upstream_exchange::read_some(std::span<char> piece,
                                               error_code& error)
{
    std::size_t count = 0;
    error = {};
    while (!this->over && count == 0 && !this->parser->is_done())
    {
        this->give_up_at = clock_now() + this->order.progress_timeout;
        this->parser->get().body().data = piece.data();
        this->parser->get().body().size = piece.size();
        co_await beast::http::async_read_some(this->connection->socket,
                                              this->connection->buffer,
                                              *this->parser, to_task(error));
        this->give_up_at = instant::max();
        if (this->over)
        {
            break;
        }
        if (error == beast::http::error::need_buffer)
        {
            error = {};
        }
        this->check_end(error);
        if (error)
        {
            this->fail(this->fault_of(error));
            co_return 0;
        }
        count = piece.size() - this->parser->get().body().size;
    }
    if (this->over && !this->parser->is_done())
    {
        error = asio::error::operation_aborted;
        co_return 0;
    }
    if (this->parser->is_done() && !this->over)
    {
        this->finish();
        this->report(entry::upstream_answer_finished{this->request->number,
                                                     std::nullopt});
    }
    co_return count;
}

void upstream_exchange::collect(std::size_t largest_answer,
                                std::size_t largest_record)
{
    asio::co_spawn(
        this->where,
        [self = this->shared_from_this(), largest_answer,
         largest_record]() -> task<void>
        {
            co_await self->collect_body(largest_answer, largest_record);
        },
        link::connection_guard(this->where,
                               [self = this->shared_from_this()]
                               {
                                   self->end_by_exception();
                               }));
}

task<void> upstream_exchange::collect_body(std::size_t largest_answer,
                                           std::size_t largest_record)
{
    once::recorded_answer answer;
    answer.status = this->parser->get().result_int();
    answer.content_type =
        std::string(this->parser->get()[beast::http::field::content_type]);
    std::vector<char> piece(piece_size);
    error_code error;
    while (!this->over && !this->parser->is_done())
    {
        this->give_up_at = clock_now() + this->order.progress_timeout;
        this->parser->get().body().data = piece.data();
        this->parser->get().body().size = piece.size();
        co_await beast::http::async_read_some(this->connection->socket,
                                              this->connection->buffer,
                                              *this->parser, to_task(error));
        if (this->over)
        {
            co_return;
        }
        if (error == beast::http::error::need_buffer)
        {
            error = {};
        }
        this->check_end(error);
        if (error)
        {
            this->fail(this->fault_of(error));
            co_return;
        }
        std::size_t const count =
            piece.size() - this->parser->get().body().size;
        answer.body_dropped =
            answer.body_dropped || answer.body.size() + count > largest_answer;
        if (!answer.body_dropped)
        {
            answer.body.insert(answer.body.end(), piece.data(),
                               piece.data() + count);
        }
    }
    if (this->over)
    {
        co_return;
    }
    this->finish();
    if (answer.body_dropped)
    {
        answer.body.clear();
    }
    this->request->collected = answer;
    if (answer.body.size() > largest_record)
    {
        answer.body.clear();
        answer.body_dropped = true;
    }
    this->report(entry::upstream_answer_finished{this->request->number,
                                                 std::move(answer)});
}

/// False if the answer ends with its connection, and writing the request has
/// failed. The system reports a reset once: the write took it, so that a read
/// finds what came before the reset and then what looks like a plain end.
bool upstream_exchange::can_end() const
{
    return this->request_sent || !this->parser->need_eof();
}

/// An upstream that ended the connection before it had received the whole
/// request may have ended for any reason, also in the middle of its answer.
void upstream_exchange::check_end(error_code& error) const
{
    if (!error && this->parser->is_done() && this->parser->need_eof() &&
        this->connection->has_unacknowledged())
    {
        error = beast::http::error::partial_message;
    }
}

/// An upstream may answer before it has read the whole request. What is written
/// next would then be read as the rest of that request.
bool upstream_exchange::is_reusable() const
{
    return this->request_sent && this->parser->is_done() &&
           this->parser->keep_alive() && !this->parser->need_eof() &&
           this->connection->buffer.size() == 0;
}

void upstream_exchange::finish()
{
    this->over = true;
    this->give_up_at = instant::max();
    if (this->is_reusable())
    {
        this->pool.give_back(std::move(this->connection), clock_now());
    }
    else
    {
        this->close();
    }
}

} // namespace bilberrylead::http
