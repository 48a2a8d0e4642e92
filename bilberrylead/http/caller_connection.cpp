#include "bilberrylead/http/caller_connection.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/read_limits.hpp"
#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/header_rules.hpp"
#include "bilberrylead/http/local_answer.hpp"
#include "bilberrylead/http/server_core.hpp"
#include "bilberrylead/http/steering_page.hpp"
#include "bilberrylead/link/connection_guard.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <poll.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bilberrylead::http
{

namespace
{

using beast::http::field;
using beast::http::status;

constexpr part_log log{"http"};
/// Bytes of further requests that are taken while one is under way. A
/// caller that sends more ahead is no longer watched for going away.
constexpr std::size_t largest_ahead = std::size_t{16} << 10U;

/// True if the other side has ended the connection, also while there are bytes
/// of it that have not been read.
bool has_left(tcp_socket& socket)
{
    ::pollfd state{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

caller_connection::caller_connection(std::shared_ptr<server_core> owner,
                                     tcp_socket accepted)
    : core(std::move(owner)), socket(std::move(accepted)),
      wake(this->core->place()),
      window(this->core->settings().pipelining.max_requests)
{
    error_code error;
    asio::ip::tcp::endpoint const peer = this->socket.remote_endpoint(error);
    if (!error)
    {
        this->address = peer.address().to_string();
    }
    this->socket.set_option(asio::ip::tcp::no_delay(true), error);
}

caller_connection::~caller_connection()
{
    this->core->forget(*this);
}

void caller_connection::begin()
{
    if (!this->core->enter(*this))
    {
        return;
    }
    asio::co_spawn(
        this->core->place(),
        [self = this->shared_from_this()]() -> task<void>
        {
            co_await self->run();
        },
        link::connection_guard(this->core->place(),
                               [self = this->shared_from_this()]
                               {
                                   self->end_by_exception();
                               }));
}

void caller_connection::end_by_exception()
{
    log.error("The connection of the caller {} is ended by an exception.",
              this->address);
    this->note_caller_gone();
    this->abandon_requests();
    this->cut();
}

void caller_connection::expire(instant now)
{
    this->check_unwatched();
    if (now < this->give_up_at)
    {
        return;
    }
    this->timed_out = true;
    this->give_up_at = instant::max();
    error_code ignored;
    this->socket.cancel(ignored);
}

/// A caller that has sent far more than its window is not read, so its leaving
/// is not seen by reading. Without pipelining it is noticed with its next
/// request.
void caller_connection::check_unwatched()
{
    bool const unwatched = !this->watching && !this->gone &&
                           !this->requests.empty() &&
                           this->requests.front()->parser.is_done() &&
                           this->buffer.size() >= largest_ahead &&
                           this->core->settings().pipelining.max_requests > 1;
    if (unwatched && has_left(this->socket))
    {
        this->note_caller_gone();
        this->wake.notify();
    }
}

void caller_connection::cut()
{
    error_code ignored;
    this->socket.close(ignored);
    this->gone = true;
    this->wake.notify();
}

void caller_connection::set_limit(duration longest)
{
    this->timed_out = false;
    this->give_up_at = clock_now() + longest;
}

void caller_connection::clear_limit()
{
    this->give_up_at = instant::max();
}

task<void> caller_connection::run()
{
    bool goes_on = true;
    while (goes_on)
    {
        goes_on = co_await this->serve_one();
        this->serving = false;
    }
    this->abandon_requests();
    this->cut();
}

task<bool> caller_connection::serve_one()
{
    bool goes_on = false;
    if (this->requests.empty())
    {
        goes_on = co_await this->serve_next();
    }
    else
    {
        goes_on = co_await this->answer_request(this->requests.front());
    }
    // Without further requests, what remains is abandoned at the end.
    if (goes_on)
    {
        std::shared_ptr<caller_request> const answered = this->requests.front();
        this->requests.pop_front();
        this->window.remove_first();
        if (answered->carried != nullptr)
        {
            this->core->leave(answered->carried->number);
        }
        this->dispatch_ahead();
    }
    co_return goes_on;
}

task<bool> caller_connection::serve_next()
{
    bool const begun = co_await this->wait_for_byte();
    if (!begun)
    {
        co_return false;
    }
    this->serving = true;
    bool const readable = co_await this->read_head();
    if (!readable)
    {
        co_return false;
    }
    std::shared_ptr<caller_request> const request =
        std::exchange(this->next, nullptr);
    std::optional<head_fault> const fault = check_head(*request);
    if (fault.has_value())
    {
        this->enqueue(request, false);
        co_return co_await this->refuse(*request, fault->status, fault->title,
                                        fault->detail);
    }
    if (this->is_page(*request))
    {
        this->enqueue(request, false);
        co_return co_await this->serve_page(request);
    }
    entry::request_arrived arrival;
    entry::body_rules const rules = this->rules_for(*request, arrival);
    this->enqueue(request, rules.idempotent);
    co_return co_await this->carry(request, std::move(arrival), rules);
}

/// True if a request may be under way beside others. An answer to an HTTP/1.0
/// caller may end only with the connection, so its requests run alone.
bool caller_connection::may_overlap(caller_request const& request,
                                    bool idempotent)
{
    return idempotent && request.version >= 11;
}

void caller_connection::enqueue(std::shared_ptr<caller_request> request,
                                bool idempotent)
{
    request_window::traits traits;
    traits.idempotent = may_overlap(*request, idempotent);
    traits.received = request->parser.is_done();
    traits.keeps_connection = request->keeps_connection;
    this->window.add(traits);
    this->requests.push_back(std::move(request));
}

task<bool> caller_connection::wait_for_byte()
{
    bool const begun = this->next != nullptr && this->next->begun;
    this->set_limit(this->core->caller_limits().idle_timeout);
    while (!begun && this->buffer.size() == 0 && !this->gone &&
           !this->timed_out)
    {
        this->start_watch();
        co_await this->wake.wait();
    }
    co_await this->end_watch();
    co_return (begun || this->buffer.size() > 0) && !this->gone &&
        this->socket.is_open();
}

task<void> caller_connection::end_watch()
{
    // A watch that was left over must not read what the parser reads. A
    // pipelined request is in the buffer already, so nothing more may come.
    if (this->watching)
    {
        error_code ignored;
        this->socket.cancel(ignored);
    }
    while (this->watching)
    {
        co_await this->wake.wait();
    }
}

std::shared_ptr<caller_request> caller_connection::begin_request()
{
    std::shared_ptr<caller_request> request =
        std::make_shared<caller_request>(this->core);
    std::size_t const largest_head = this->core->caller_limits().header_bytes;
    request->parser.header_limit(static_cast<std::uint32_t>(largest_head));
    // A lower limit of heads must not cut off what has arrived already.
    this->buffer.max_size(std::max(largest_head, this->buffer.size()) +
                          max_unparsed_bytes);
    request->parser.body_limit(boost::none);
    return request;
}

task<bool> caller_connection::read_head()
{
    if (this->next == nullptr)
    {
        this->next = this->begin_request();
    }
    caller_request& request = *this->next;
    request.begun = true;
    if (request.parser.is_header_done() || request.head_error)
    {
        // The idle time ends here; it must not cut the request's body.
        this->clear_limit();
        co_return true;
    }
    this->set_limit(this->core->caller_limits().header_timeout);
    error_code error;
    co_await beast::http::async_read_header(this->socket, this->buffer,
                                            request.parser, to_task(error));
    this->clear_limit();
    request.late = this->timed_out;
    request.head_error = error;
    bool const ended =
        error == beast::http::error::end_of_stream ||
        error == beast::http::error::partial_message ||
        (error && error.category() == asio::error::get_system_category());
    co_return request.late || !ended;
}

std::optional<caller_connection::head_fault>
caller_connection::check_head(caller_request& request)
{
    request.keeps_connection = false;
    if (request.late)
    {
        return head_fault{status::request_timeout,
                          "The request's head came too slowly.",
                          "Send the whole head at once."};
    }
    if (request.head_error == beast::http::error::header_limit)
    {
        return head_fault{status::request_header_fields_too_large,
                          "The request's head is too large.",
                          "Send fewer headers."};
    }
    request_message const& head = request.parser.get();
    auto const lengths = head.equal_range(field::content_length);
    auto const frames = head.equal_range(field::transfer_encoding);
    // Two frames for one body could be read in two ways along the path, so
    // that a second request hides in the first one's body.
    bool const ambiguous =
        std::distance(lengths.first, lengths.second) > 1 ||
        std::distance(frames.first, frames.second) > 1 ||
        (lengths.first != lengths.second && frames.first != frames.second) ||
        (frames.first != frames.second && !request.parser.chunked());
    if (request.head_error || ambiguous)
    {
        return head_fault{
            status::bad_request, "The request is not valid HTTP/1.1.",
            "Send one Content-Length, or Transfer-Encoding: chunked."};
    }
    request.version = head.version();
    request.head_only = head.method() == beast::http::verb::head;
    bool const unhosted = request.version >= 11 && head.count(field::host) != 1;
    if (unhosted || head.target().empty() || head.target().front() != '/' ||
        head.method() == beast::http::verb::connect)
    {
        return head_fault{
            status::bad_request, "The request cannot be carried.",
            "Send one Host header and a target that starts with a slash."};
    }
    request.keeps_connection = request.parser.keep_alive();
    return std::nullopt;
}

bool caller_connection::is_page(caller_request const& request) const
{
    beast::string_view const target = request.parser.get().target();
    return this->core->settings().own_pages &&
           (target == "/ready" || target.starts_with("/steering?"));
}

task<bool>
caller_connection::serve_page(std::shared_ptr<caller_request> request)
{
    std::string const target(request->parser.get().target());
    if (!request->parser.is_done())
    {
        co_return co_await this->refuse(*request, status::payload_too_large,
                                        "This page takes no body.",
                                        "Send it without one.");
    }
    if (target == "/ready")
    {
        bool const ready = this->core->decisions().ready();
        whole_answer page =
            make_page(ready ? status::ok : status::service_unavailable,
                      ready ? R"({"ready":true})" : R"({"ready":false})");
        co_return co_await this->write_whole(*request, std::move(page), no_id);
    }
    std::string_view const query =
        std::string_view(target).substr(target.find('?') + 1);
    whole_answer page =
        make_steering_page(this->core->decisions(), query, this->address,
                           this->core->settings().names);
    co_return co_await this->write_whole(*request, std::move(page), no_id);
}

void caller_connection::note_received()
{
    // Nothing is dispatched behind a body that is still on its way, so the
    // request that waits for one is the only one.
    if (this->requests.size() == 1 && this->requests.front()->parser.is_done())
    {
        this->window.set_received();
    }
}

bool caller_connection::begin_answer()
{
    this->note_received();
    bool const keeps = this->window.begin_answer(this->core->closing());
    return keeps && !this->gone;
}

/// Dispatches what may be dispatched behind unanswered requests.
void caller_connection::dispatch_ahead()
{
    bool goes_on = true;
    while (goes_on)
    {
        this->note_received();
        goes_on = !this->gone && !this->requests.empty() &&
                  this->requests.back()->dispatched &&
                  this->window.has_room(this->core->closing());
        if (goes_on && this->next == nullptr && this->buffer.size() > 0)
        {
            this->next = this->begin_request();
        }
        goes_on = goes_on && this->next != nullptr &&
                  this->parse_ahead(*this->next) && this->dispatch_next();
    }
}

/// True once the head is whole and can be parsed.
bool caller_connection::parse_ahead(caller_request& request)
{
    while (!request.parser.is_header_done() && !request.head_error &&
           this->buffer.size() > 0)
    {
        request.begun = true;
        error_code error;
        std::size_t const used = request.parser.put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error == beast::http::error::need_more)
        {
            return false;
        }
        request.head_error = error;
    }
    return request.parser.is_header_done() && !request.head_error;
}

/// True if the next request has been dispatched. One that has a fault, or
/// that must not run ahead, is served when it is the first one.
bool caller_connection::dispatch_next()
{
    std::shared_ptr<caller_request> const request = this->next;
    if (request->waits_for_turn)
    {
        return false;
    }
    request->waits_for_turn = check_head(*request).has_value() ||
                              this->is_page(*request) ||
                              !request->parser.is_done();
    if (request->waits_for_turn)
    {
        return false;
    }
    entry::request_arrived arrival;
    entry::body_rules const rules = this->rules_for(*request, arrival);
    request->waits_for_turn = !this->window.admits(
        may_overlap(*request, rules.idempotent), this->core->closing());
    if (request->waits_for_turn ||
        !request->memory.take_ahead(this->core->settings().piece))
    {
        return false;
    }
    if (!this->fill_request(*request, arrival, rules))
    {
        this->core->leave(request->carried->number);
        request->carried = nullptr;
        request->waits_for_turn = true;
        return false;
    }
    this->next = nullptr;
    this->enqueue(request, rules.idempotent);
    ++this->core->counters().pipelined_requests;
    this->send_on(request, std::move(arrival), rules);
    return true;
}

void caller_connection::start_watch()
{
    if (this->watching || this->gone || this->buffer.size() >= largest_ahead)
    {
        return;
    }
    this->watching = true;
    this->socket.async_read_some(
        asio::buffer(this->arrived),
        [self = this->shared_from_this(),
         guard = link::connection_guard(this->core->place(),
                                        [self = this->shared_from_this()]
                                        {
                                            self->end_by_exception();
                                        })](error_code error,
                                            std::size_t count) mutable
        {
            self->watching = false;
            self->buffer.commit(
                asio::buffer_copy(self->buffer.prepare(count),
                                  asio::buffer(self->arrived, count)));
            bool const ended_here = error == asio::error::operation_aborted &&
                                    self->socket.is_open();
            if (error && !ended_here)
            {
                self->note_caller_gone();
            }
            self->dispatch_ahead();
            if (!error && !self->requests.empty())
            {
                self->start_watch();
            }
            self->wake.notify();
            guard.release();
        });
}

void caller_connection::note_caller_gone()
{
    this->gone = true;
    for (std::shared_ptr<caller_request> const& request : this->requests)
    {
        if (request->carried != nullptr)
        {
            this->core->dispatch(entry::caller_gone{request->carried->number});
        }
    }
}

/// Ends what has not been answered when the connection ends. The first
/// request has been answered, or its answer has failed; it is cancelled
/// only if its caller has left.
void caller_connection::abandon_requests()
{
    if (this->requests.size() > 1)
    {
        ++this->core->counters().connections_cut_short;
    }
    bool first = true;
    for (std::shared_ptr<caller_request> const& request : this->requests)
    {
        if (request->carried != nullptr)
        {
            if (!first || this->gone)
            {
                this->core->dispatch(
                    entry::caller_gone{request->carried->number});
            }
            this->core->leave(request->carried->number);
        }
        first = false;
    }
    this->requests.clear();
}

} // namespace bilberrylead::http
