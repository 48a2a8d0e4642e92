#include "bilberrylead/http/caller_connection.hpp"

#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/header_rules.hpp"
#include "bilberrylead/http/local_answer.hpp"
#include "bilberrylead/http/region_header.hpp"
#include "bilberrylead/http/request_digest.hpp"
#include "bilberrylead/http/server_core.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bilberrylead::http
{

namespace
{

using beast::http::field;
using beast::http::status;

/// No caller waits longer; a larger number would overflow the clock.
constexpr std::int64_t longest_deadline_ms = 24LL * 3600 * 1000;

std::string path_of(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::string host_without_port(std::string_view host)
{
    // An IPv6 address has colons of its own, within brackets.
    std::size_t const port = host.rfind(':');
    bool const has_port = port != std::string_view::npos &&
                          host.find(']', port) == std::string_view::npos;
    return std::string(has_port ? host.substr(0, port) : host);
}

beast::string_view header_of(request_message const& head,
                             std::string const& name)
{
    return name.empty() ? beast::string_view() : head[name];
}

/// Longest request id that is taken over from another entry host.
constexpr std::size_t longest_relayed_id = 128;

/// Longest key that a configuration may hold.
constexpr std::size_t longest_customer_key = 1024;

/// The key if there is exactly one; two could be of different customers.
std::string customer_key_of(request_message const& head,
                            std::string const& name)
{
    if (name.empty() || head.count(name) != 1)
    {
        return {};
    }
    beast::string_view const key = head[name];
    return key.size() > longest_customer_key ? std::string() : std::string(key);
}

service_id first_segment(std::string_view target)
{
    std::string_view const path = target.substr(1, target.find('?') - 1);
    return service_id(std::string(path.substr(0, path.find('/'))));
}

/// The revision that another entry host names; 0 if it names none.
revision parse_revision(beast::string_view text)
{
    revision number = 0;
    std::from_chars_result const result =
        std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc{} ? number : 0;
}

std::optional<duration> parse_deadline(std::string_view text)
{
    std::int64_t count = -1;
    std::from_chars_result const result =
        std::from_chars(text.data(), text.data() + text.size(), count);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size() ||
        count < 0)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(count, longest_deadline_ms));
}

status status_of_body_error(error_code const& error)
{
    if (error == beast::http::error::body_limit)
    {
        return status::payload_too_large;
    }
    return error == beast::http::error::header_limit
               ? status::request_header_fields_too_large
               : status::bad_request;
}

/// Sets a flag for its own lifetime, also if an exception ends that.
class scoped_flag
{
public:
    explicit scoped_flag(bool& chosen) : flag(chosen)
    {
        this->flag = true;
    }

    ~scoped_flag()
    {
        this->flag = false;
    }

    scoped_flag(scoped_flag const&) = delete;
    scoped_flag& operator=(scoped_flag const&) = delete;

private:
    bool& flag;
};

/// True if nothing more can come from the other side.
bool is_end_of_connection(error_code const& error)
{
    return error == beast::http::error::partial_message ||
           error.category() == asio::error::get_system_category();
}

} // namespace

entry::body_rules caller_connection::rules_for(caller_request& request,
                                               entry::request_arrived& arrival)
{
    request_message const& head = request.parser.get();
    arrival.service = first_segment(head.target());
    arrival.host = host_without_port(head[field::host]);
    arrival.path = path_of(head.target());
    arrival.customer_key =
        customer_key_of(head, this->core->settings().names.customer_key);
    return this->core->decisions().body_rules_for(
        arrival.service, arrival.host, arrival.path, arrival.customer_key);
}

task<bool> caller_connection::carry(std::shared_ptr<caller_request> request,
                                    entry::request_arrived arrival,
                                    entry::body_rules rules)
{
    if (!this->fill_request(*request, arrival, rules))
    {
        co_return co_await this->refuse(*request, status::bad_request,
                                        "The deadline is no number.",
                                        "Send whole milliseconds, 0 or more.");
    }
    std::size_t const needed =
        this->core->settings().piece +
        (rules.buffer_body ? this->core->settings().largest_collected : 0);
    if (!request->memory.take(needed))
    {
        co_return co_await this->refuse_for_memory(*request);
    }
    if (rules.is_served && !request->parser.is_done())
    {
        bool const whole = co_await this->read_body(request, rules);
        if (!whole)
        {
            co_return false;
        }
    }
    this->send_on(request, std::move(arrival), rules);
    this->dispatch_ahead();
    co_return co_await this->answer_request(request);
}

void caller_connection::send_on(std::shared_ptr<caller_request> const& request,
                                entry::request_arrived arrival,
                                entry::body_rules const& rules)
{
    carried_request& carried = *request->carried;
    frame_request(*request);
    arrival.body_kept = carried.complete;
    arrival.body_digest = rules.buffer_body ? content_digest(carried) : 0;
    arrival.digest = request_digest(
        carried, arrival.host,
        header_of(request->parser.get(), this->core->settings().names.caller));
    carried.replied =
        [self = this->weak_from_this(), replied = std::weak_ptr(request)]
    {
        std::shared_ptr<caller_connection> const connection = self.lock();
        std::shared_ptr<caller_request> const answered = replied.lock();
        if (connection != nullptr && answered != nullptr)
        {
            connection->take_reply(answered);
        }
    };
    request->dispatched = true;
    this->core->dispatch(std::move(arrival));
}

task<bool> caller_connection::refuse_for_memory(caller_request& request)
{
    whole_answer answer = make_answer(
        entry::answer_not_run{request.carried->number,
                              entry::refusal_reason::no_memory,
                              this->core->settings().entry.retry_after},
        this->core->settings().names);
    co_return co_await this->write_whole(request, std::move(answer),
                                         request.carried->id);
}

bool caller_connection::fill_request(caller_request& request,
                                     entry::request_arrived& arrival,
                                     entry::body_rules const& rules)
{
    request.carried = this->core->make_request();
    carried_request& carried = *request.carried;
    arrival.request = carried.number;
    request_message& head = request.parser.get();
    header_names const& names = this->core->settings().names;
    arrival.caller_address = this->address;
    beast::string_view const caller = header_of(head, names.caller);
    arrival.caller =
        caller_id(caller.empty() ? this->address : std::string(caller));
    arrival.idempotency_key = std::string(header_of(head, names.key));
    arrival.repeated = header_of(head, names.repeat) == "1";
    beast::string_view const object = header_of(head, names.object);
    arrival.object =
        object.empty() ? 0 : XXH3_64bits(object.data(), object.size()) | 1U;
    beast::string_view const deadline = header_of(head, names.deadline);
    if (!deadline.empty())
    {
        arrival.time_left = parse_deadline({deadline.data(), deadline.size()});
        if (!arrival.time_left.has_value())
        {
            return false;
        }
    }
    request.parser.body_limit(rules.max_bytes);
    carried.message.base() = head.base();
    arrival.is_relayed = header_of(head, names.relayed) == "1";
    if (arrival.is_relayed)
    {
        arrival.relayed_revision =
            parse_revision(header_of(head, names.relayed_revision));
        beast::string_view const regions =
            header_of(head, names.relayed_regions);
        arrival.relayed_regions =
            read_regions({regions.data(), regions.size()});
    }
    carried.customer_key = arrival.customer_key;
    strip_connection_headers(carried.message);
    strip_upstream_headers(carried.message, names);
    carried.message.erase(field::expect);
    carried.message.version(11);
    beast::string_view const named = header_of(head, names.request_id);
    bool const keeps_id = arrival.is_relayed && !named.empty() &&
                          named.size() <= longest_relayed_id;
    if (names.caller_names_request || keeps_id)
    {
        carried.id = std::string(named);
    }
    else
    {
        carried.message.set(names.request_id, carried.id);
    }
    return true;
}

void caller_connection::frame_request(caller_request& request)
{
    carried_request& carried = *request.carried;
    if (!carried.complete)
    {
        // A length that is known stays as it came; naming the coding, even
        // to switch it off, would remove it and leave a body without frame.
        if (!request.parser.content_length().has_value())
        {
            carried.message.chunked(true);
        }
        return;
    }
    if (!carried.kept.empty() || carried.message.count(field::content_length))
    {
        carried.message.content_length(carried.kept.size());
    }
}

task<bool> caller_connection::read_body(std::shared_ptr<caller_request> request,
                                        entry::body_rules const& rules)
{
    carried_request& carried = *request->carried;
    std::size_t const largest = rules.max_bytes;
    std::size_t const keep =
        rules.buffer_body ? largest
                          : std::min(largest, this->core->settings().kept_body);
    if (request->parser.content_length().value_or(0) > largest)
    {
        co_return co_await this->refuse_body(*request,
                                             beast::http::error::body_limit);
    }
    if (beast::iequals(request->parser.get()[field::expect], "100-continue"))
    {
        static constexpr std::string_view go_on =
            "HTTP/1.1 100 Continue\r\n\r\n";
        error_code error;
        this->set_limit(this->core->settings().write_timeout);
        co_await asio::async_write(this->socket, asio::buffer(go_on),
                                   to_task(error));
        this->clear_limit();
        if (error)
        {
            co_return false;
        }
    }
    std::size_t taken = 0;
    while (!request->parser.is_done() && carried.kept.size() < keep)
    {
        std::size_t const old = carried.kept.size();
        std::size_t const more =
            std::min(this->core->settings().piece, keep - old);
        // A body that comes in small parts needs no more than a whole one.
        if (!request->memory.take(old + more - taken))
        {
            co_return co_await this->refuse_for_memory(*request);
        }
        taken = old + more;
        carried.kept.resize(old + more);
        std::size_t count = 0;
        bool const came = co_await this->read_piece(
            *request, std::span(carried.kept).subspan(old, more), count);
        if (!came)
        {
            co_return false;
        }
        carried.kept.resize(old + count);
    }
    carried.complete = request->parser.is_done();
    if (!carried.complete)
    {
        // The exchange may still be in it when the connection has ended.
        carried.read_rest =
            [self = this->weak_from_this(), read = std::weak_ptr(request)](
                std::span<char> piece, error_code& error) -> task<std::size_t>
        {
            std::shared_ptr<caller_connection> const connection = self.lock();
            std::shared_ptr<caller_request> const owner = read.lock();
            if (connection == nullptr || owner == nullptr)
            {
                error = asio::error::operation_aborted;
                co_return 0;
            }
            co_return co_await connection->read_rest(owner, piece, error);
        };
    }
    co_return true;
}

task<bool> caller_connection::read_piece(caller_request& request,
                                         std::span<char> piece,
                                         std::size_t& count)
{
    error_code error;
    this->set_limit(this->core->settings().body_timeout);
    count = co_await this->read_some(request.parser, piece, error);
    this->clear_limit();
    if (!error)
    {
        co_return true;
    }
    co_return co_await this->refuse_body(request, error);
}

task<std::size_t>
caller_connection::read_rest(std::shared_ptr<caller_request> request,
                             std::span<char> piece, error_code& error)
{
    error = {};
    if (request->parser.is_done())
    {
        co_return 0;
    }
    std::size_t count = 0;
    {
        scoped_flag const reading(this->reading_rest);
        this->set_limit(this->core->settings().body_timeout);
        count = co_await this->read_some(request->parser, piece, error);
        this->clear_limit();
    }
    if (this->rest_unwanted && !error)
    {
        error = asio::error::operation_aborted;
    }
    if (error)
    {
        this->note_rest_lost(*request, error);
    }
    this->wake.notify();
    co_return count;
}

/// A request that has its answer already ends by that.
void caller_connection::note_rest_lost(caller_request& request,
                                       error_code error)
{
    if (!std::holds_alternative<std::monostate>(request.carried->reply))
    {
        return;
    }
    if (!this->timed_out && is_end_of_connection(error))
    {
        this->note_caller_gone();
        return;
    }
    request.body_error = error;
    this->core->dispatch(entry::request_body_failed{request.carried->number});
}

/// Ends the reading of a rest, which uses the socket and its time limit.
task<void> caller_connection::end_rest()
{
    this->rest_unwanted = true;
    if (this->reading_rest)
    {
        error_code ignored;
        this->socket.cancel(ignored);
    }
    while (this->reading_rest)
    {
        co_await this->wake.wait();
    }
    this->rest_unwanted = false;
}

task<std::size_t> caller_connection::read_some(request_parser& parser,
                                               std::span<char> piece,
                                               error_code& error)
{
    std::size_t count = 0;
    error = {};
    while (count == 0 && !parser.is_done() && !error && !this->rest_unwanted)
    {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        co_await beast::http::async_read_some(this->socket, this->buffer,
                                              parser, to_task(error));
        if (error == beast::http::error::need_buffer)
        {
            error = {};
        }
        count = piece.size() - parser.get().body().size;
    }
    co_return count;
}

task<bool> caller_connection::refuse_body(caller_request& request,
                                          error_code error)
{
    if (this->timed_out)
    {
        co_return co_await this->refuse(request, status::request_timeout,
                                        "The request's body came too slowly.",
                                        "Send it again, faster.");
    }
    if (error == beast::http::error::body_limit)
    {
        co_return co_await this->refuse(request, status::payload_too_large,
                                        "The request's body is too large.",
                                        "Send a smaller one.");
    }
    if (error == beast::http::error::header_limit)
    {
        co_return co_await this->refuse(
            request, status::request_header_fields_too_large,
            "The fields behind the request's body are too large.",
            "Send them in its head.");
    }
    if (is_end_of_connection(error))
    {
        co_return false;
    }
    co_return co_await this->refuse(request, status::bad_request,
                                    "The request's body is not valid.",
                                    "Check the lengths of its chunks.");
}

/// A part of the request has reached an upstream, which may have run it. So
/// the answer must not be one that promises the opposite, as 408 does.
task<bool> caller_connection::refuse_rest(caller_request& request)
{
    ++this->core->counters().bad_requests;
    this->window.close_after_first();
    co_return co_await this->write_whole(
        request, make_body_problem(status_of_body_error(request.body_error)),
        request.carried->id);
}

} // namespace bilberrylead::http
