#include "bilberrylead/http/caller_connection.hpp"

#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/header_rules.hpp"
#include "bilberrylead/http/local_answer.hpp"
#include "bilberrylead/http/server_core.hpp"
#include "bilberrylead/http/upstream_exchange.hpp"
#include "bilberrylead/link/connection_guard.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <memory>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace bilberrylead::http
{

namespace
{

using beast::http::status;

constexpr std::size_t linger_piece = 4096;
/// What is read of a refused request at most, bytes.
constexpr std::size_t largest_linger = std::size_t{256} << 10U;

bool has_no_body(bool head_only, status code)
{
    return head_only || code == status::no_content ||
           code == status::not_modified;
}

} // namespace

void caller_connection::take_reply(
    std::shared_ptr<caller_request> const& request)
{
    stream_reply const* const stream =
        std::get_if<stream_reply>(&request->carried->reply);
    // A request that is alone is streamed; where others wait behind it, a
    // break-off must not cost them their connection.
    if (stream != nullptr && this->requests.size() > 1 && !this->gone)
    {
        request->held.state = held_answer::progress::reading;
        ++this->core->counters().answers_held;
        asio::co_spawn(
            this->core->place(),
            [self = this->shared_from_this(), request,
             exchange = stream->exchange]() -> task<void>
            {
                co_await self->hold_answer(request, exchange);
            },
            link::connection_guard(this->core->place(),
                                   [self = this->shared_from_this()]
                                   {
                                       self->end_by_exception();
                                   }));
    }
    this->wake.notify();
}

task<void>
caller_connection::hold_answer(std::shared_ptr<caller_request> request,
                               std::shared_ptr<upstream_exchange> exchange)
{
    held_answer& held = request->held;
    error_code error;
    while (!error && !held.whole && this->grow_held(*request, *exchange))
    {
        std::size_t const count = co_await exchange->read_some(
            std::span(held.bytes).subspan(held.size), error);
        held.size += count;
        held.whole = !error && exchange->ended();
    }
    if (error)
    {
        ++this->core->counters().held_answers_broken;
    }
    held.state =
        error ? held_answer::progress::broken : held_answer::progress::complete;
    this->wake.notify();
}

/// False if there is room neither in the held answer nor for more of it.
bool caller_connection::grow_held(caller_request& request,
                                  upstream_exchange& exchange)
{
    held_answer& held = request.held;
    std::size_t const largest =
        this->core->settings().pipelining.max_answer_bytes;
    std::size_t const old = held.bytes.size();
    if (exchange.answer().is_done() || held.size < old)
    {
        return true;
    }
    // A known length avoids reserving a whole piece for a small answer.
    std::size_t const wanted =
        static_cast<std::size_t>(exchange.answer().content_length().value_or(
            std::max(2 * old, this->core->settings().piece)));
    std::size_t const room = std::min(wanted, largest);
    if (room <= old || !request.memory.take_for_answer(room - old))
    {
        return false;
    }
    held.bytes.reserve(room);
    held.bytes.resize(room);
    return true;
}

task<bool>
caller_connection::answer_request(std::shared_ptr<caller_request> request)
{
    bool const replied = co_await this->await_reply(*request);
    co_await this->end_rest();
    if (!replied)
    {
        co_return false;
    }
    if (request->body_error)
    {
        co_return co_await this->refuse_rest(*request);
    }
    co_return co_await this->write_reply(*request);
}

task<bool> caller_connection::await_reply(caller_request& request)
{
    bool open = true;
    while (open)
    {
        // Only once the whole body is read is anything else on the way from
        // the caller a sign of its going.
        if (request.parser.is_done())
        {
            this->start_watch();
        }
        open = std::holds_alternative<std::monostate>(request.carried->reply) ||
               request.held.state == held_answer::progress::reading;
        if (this->gone)
        {
            co_return false;
        }
        open = open && !request.body_error;
        if (open)
        {
            co_await this->wake.wait();
        }
    }
    co_return !this->gone;
}

task<bool> caller_connection::write_reply(caller_request& request)
{
    carried_request& carried = *request.carried;
    http::reply decided = std::exchange(carried.reply, entry::answer_problem{});
    if (request.held.state == held_answer::progress::broken)
    {
        // Nothing of the answer has been sent, so a 502 can replace it.
        decided = entry::answer_unknown{
            carried.number, entry::refusal_reason::connection_lost, {}};
    }
    if (stream_reply const* stream = std::get_if<stream_reply>(&decided))
    {
        co_return co_await this->stream_answer(request, stream->exchange);
    }
    whole_answer answer;
    std::visit(
        [this, &answer](auto const& each)
        {
            using kind = std::decay_t<decltype(each)>;
            if constexpr (std::is_same_v<kind, recorded_reply>)
            {
                answer = make_answer(each.answer);
            }
            else if constexpr (!std::is_same_v<kind, stream_reply> &&
                               !std::is_same_v<kind, std::monostate>)
            {
                answer = make_answer(each, this->core->settings().names);
            }
        },
        decided);
    co_return co_await this->write_whole(request, std::move(answer),
                                         carried.id);
}

task<bool>
caller_connection::stream_answer(caller_request& request,
                                 std::shared_ptr<upstream_exchange> exchange)
{
    carried_request const& carried = *request.carried;
    answer_message answer;
    answer.base() = std::move(exchange->answer().get().base());
    strip_connection_headers(answer);
    header_names const& names = this->core->settings().names;
    std::string const relayed_outcome(exchange->is_with_entry_host()
                                          ? answer[outcome_header]
                                          : beast::string_view());
    strip_upstream_headers(answer, names);
    answer.set(outcome_header,
               relayed_outcome.empty() ? "done" : relayed_outcome);
    if (!carried.id.empty())
    {
        answer.set(names.request_id, carried.id);
    }
    bool const bodyless = has_no_body(request.head_only, answer.result());
    bool const measured = exchange->answer().content_length().has_value();
    // An HTTP/1.0 caller knows no chunks: the end of the connection is the
    // end of the answer.
    bool keep = this->begin_answer();
    keep = keep && (bodyless || measured || request.version >= 11);
    answer.version(request.version);
    answer.keep_alive(keep);
    bool const ends_with_connection =
        !bodyless && !measured && request.version < 11;
    if (ends_with_connection)
    {
        this->reset_on_close(true);
    }
    else if (!bodyless && !measured)
    {
        answer.chunked(true);
    }
    beast::http::response_serializer<beast::http::buffer_body> serializer{
        answer};
    std::size_t const size = this->core->settings().piece;
    held_answer& held = request.held;
    std::unique_ptr<char[]> piece;
    if (!held.whole)
    {
        piece = std::make_unique_for_overwrite<char[]>(size);
    }
    error_code error;
    std::size_t passed = 0;
    bool more = true;
    while (more)
    {
        char* data = piece.get();
        std::size_t count = 0;
        if (passed < held.size)
        {
            data = held.bytes.data() + passed;
            count = std::min(size, held.size - passed);
            more = passed + count < held.size || !held.whole;
        }
        else if (held.whole)
        {
            more = false;
        }
        else
        {
            count = co_await exchange->read_some({data, size}, error);
            more = !exchange->ended();
        }
        if (error)
        {
            // The caller must see that its answer is not whole.
            ++this->core->counters().answers_cut;
            this->reset_on_close(true);
            co_return false;
        }
        co_await this->wait_for_turn(passed, count);
        passed += count;
        answer.body().data = count > 0 ? data : nullptr;
        answer.body().size = count;
        answer.body().more = more;
        this->set_limit(this->core->settings().write_timeout);
        if (bodyless)
        {
            co_await beast::http::async_write_header(this->socket, serializer,
                                                     to_task(error));
        }
        else
        {
            co_await beast::http::async_write(this->socket, serializer,
                                              to_task(error));
        }
        this->clear_limit();
        if (error == beast::http::error::need_buffer)
        {
            error = {};
        }
        if (error && error != beast::http::error::end_of_stream)
        {
            this->note_caller_gone();
            co_return false;
        }
    }
    if (ends_with_connection)
    {
        this->reset_on_close(false);
    }
    if (!request.parser.is_done())
    {
        co_await this->linger();
    }
    co_return keep;
}

/// A reset shows a caller that an answer without a length is not whole, also
/// when this process ends in the middle of it.
void caller_connection::reset_on_close(bool resets)
{
    // Fails only on a connection that is closed already.
    error_code ignored;
    this->socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

task<void> caller_connection::wait_for_turn(std::size_t passed,
                                            std::size_t count)
{
    duration const wait =
        this->core->pace().reserve(passed, count, clock_now());
    if (wait > duration::zero())
    {
        ++this->core->counters().pieces_paced;
        this->core->counters().paced += wait;

        // Nothing cancels it: it is shorter than the time in which a caller
        // that left has to be noticed.
        wait_timer timer(this->core->place());
        timer.expires_after(wait);
        error_code ignored;
        co_await timer.async_wait(to_task(ignored));
    }
}

task<bool> caller_connection::write_whole(caller_request& request,
                                          whole_answer answer,
                                          std::string_view id)
{
    bool const keep = this->begin_answer();
    if (!id.empty())
    {
        answer.set(this->core->settings().names.request_id, id);
    }
    answer.version(request.version);
    answer.keep_alive(keep);
    answer.content_length(answer.body().size());
    error_code error;
    this->set_limit(this->core->settings().write_timeout);
    if (has_no_body(request.head_only, answer.result()))
    {
        beast::http::response_serializer<beast::http::string_body> serializer{
            answer};
        co_await beast::http::async_write_header(this->socket, serializer,
                                                 to_task(error));
    }
    else
    {
        co_await beast::http::async_write(this->socket, answer, to_task(error));
    }
    this->clear_limit();
    if (!error && !keep)
    {
        co_await this->linger();
    }
    co_return keep && !error;
}

task<bool> caller_connection::refuse(caller_request& request, status code,
                                     std::string_view title,
                                     std::string_view detail)
{
    ++this->core->counters().bad_requests;
    this->window.close_after_first();
    whole_answer answer = make_refusal(code, title, detail);
    co_return co_await this->write_whole(request, std::move(answer), no_id);
}

task<void> caller_connection::linger()
{
    // Closing with unread bytes would send a reset, and the caller could
    // lose the answer that it has not read yet.
    error_code error;
    this->socket.shutdown(asio::socket_base::shutdown_send, error);
    this->set_limit(this->core->settings().linger);
    std::vector<char> waste(linger_piece);
    std::size_t total = 0;
    co_await this->end_watch();
    while (!error && !this->timed_out && total < largest_linger)
    {
        std::size_t const count = co_await this->socket.async_read_some(
            asio::buffer(waste), to_task(error));
        total += count;
    }
    this->clear_limit();
}

} // namespace bilberrylead::http
