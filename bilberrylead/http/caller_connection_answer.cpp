#include "bilberrylead/http/caller_connection.hpp"

#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/header_rules.hpp"
#include "bilberrylead/http/local_answer.hpp"
#include "bilberrylead/http/server_core.hpp"
#include "bilberrylead/http/upstream_exchange.hpp"

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

task<bool> caller_connection::await_reply(carried_request& carried)
{
    while (std::holds_alternative<std::monostate>(carried.reply))
    {
        // Only once the whole body is read is anything else on the way from
        // the caller a sign of its going.
        if (this->parser->is_done())
        {
            this->start_watch();
        }
        if (this->gone)
        {
            co_return false;
        }
        co_await this->wake.wait();
    }
    co_return !this->gone;
}

task<bool> caller_connection::write_reply(carried_request& carried)
{
    http::reply const decided =
        std::exchange(carried.reply, entry::answer_problem{});
    if (stream_reply const* stream = std::get_if<stream_reply>(&decided))
    {
        co_return co_await this->stream_answer(carried, stream->exchange);
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
    co_return co_await this->write_whole(std::move(answer), carried.id);
}

task<bool>
caller_connection::stream_answer(carried_request& carried,
                                 std::shared_ptr<upstream_exchange> exchange)
{
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
    bool const bodyless = has_no_body(this->head_only, answer.result());
    bool const measured = exchange->answer().content_length().has_value();
    // An HTTP/1.0 caller knows no chunks: the end of the connection is the
    // end of the answer.
    bool keep =
        this->keeps_alive() && (bodyless || measured || this->version >= 11);
    answer.version(this->version);
    answer.keep_alive(keep);
    if (!bodyless && !measured && this->version >= 11)
    {
        answer.chunked(true);
    }
    beast::http::response_serializer<beast::http::buffer_body> serializer{
        answer};
    std::size_t const size = this->core->settings().piece;
    std::unique_ptr<char[]> const piece =
        std::make_unique_for_overwrite<char[]>(size);
    error_code error;
    std::size_t passed = 0;
    do
    {
        std::size_t const count =
            co_await exchange->read_some({piece.get(), size}, error);
        if (error)
        {
            // The caller must see that its answer is not whole.
            ++this->core->counters().answers_cut;
            this->socket.set_option(asio::socket_base::linger(true, 0), error);
            co_return false;
        }
        co_await this->wait_for_turn(passed, count);
        passed += count;
        answer.body().data = count > 0 ? piece.get() : nullptr;
        answer.body().size = count;
        answer.body().more = !exchange->ended();
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
    } while (!exchange->ended());
    co_return keep;
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

task<bool> caller_connection::write_whole(whole_answer answer,
                                          std::string_view id)
{
    bool const keep = this->keeps_alive();
    if (!id.empty())
    {
        answer.set(this->core->settings().names.request_id, id);
    }
    answer.version(this->version);
    answer.keep_alive(keep);
    answer.content_length(answer.body().size());
    error_code error;
    this->set_limit(this->core->settings().write_timeout);
    if (has_no_body(this->head_only, answer.result()))
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

task<bool> caller_connection::refuse(status code, std::string_view title,
                                     std::string_view detail)
{
    ++this->core->counters().bad_requests;
    this->caller_keeps_alive = false;
    whole_answer answer = make_refusal(code, title, detail);
    co_return co_await this->write_whole(std::move(answer), no_id);
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
