#include "bilberrylead/http/caller_connection.hpp"

#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/header_rules.hpp"
#include "bilberrylead/http/local_answer.hpp"
#include "bilberrylead/http/server_core.hpp"
#include "bilberrylead/http/steering_page.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bilberrylead::http
{

namespace
{

using beast::http::field;
using beast::http::status;

/// Bytes of further requests that are taken while one is under way. A
/// caller that sends more ahead is no longer watched for going away.
constexpr std::size_t largest_ahead = std::size_t{16} << 10U;
constexpr std::size_t read_size = 4096;

} // namespace

caller_connection::caller_connection(std::shared_ptr<server_core> owner,
                                     tcp_socket accepted)
    : core(std::move(owner)), socket(std::move(accepted)),
      wake(this->core->place())
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
    this->give_memory_back();
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
        asio::detached);
}

void caller_connection::expire(instant now)
{
    if (now < this->give_up_at)
    {
        return;
    }
    this->timed_out = true;
    this->give_up_at = instant::max();
    error_code ignored;
    this->socket.cancel(ignored);
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
    this->cut();
}

task<bool> caller_connection::serve_one()
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
    std::string const target(this->parser->get().target());
    bool const is_page =
        this->core->settings().own_pages &&
        (target == "/ready" || target.starts_with("/steering?"));
    if (is_page)
    {
        co_return co_await this->serve_page(target);
    }
    bool const goes_on = co_await this->carry();
    if (this->current != nullptr)
    {
        this->core->leave(this->current->number);
        this->current = nullptr;
    }
    this->give_memory_back();
    co_return goes_on;
}

task<bool> caller_connection::wait_for_byte()
{
    this->set_limit(this->core->caller_limits().idle_timeout);
    while (this->buffer.size() == 0 && !this->gone && !this->timed_out)
    {
        this->start_watch();
        co_await this->wake.wait();
    }
    co_await this->end_watch();
    co_return this->buffer.size() > 0 && this->socket.is_open();
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

task<bool> caller_connection::read_head()
{
    this->parser.emplace();
    this->parser->header_limit(
        static_cast<std::uint32_t>(this->core->caller_limits().header_bytes));
    this->parser->body_limit(boost::none);
    this->version = 11;
    this->head_only = false;
    this->caller_keeps_alive = false;
    this->set_limit(this->core->caller_limits().header_timeout);
    error_code error;
    co_await beast::http::async_read_header(this->socket, this->buffer,
                                            *this->parser, to_task(error));
    this->clear_limit();
    if (this->timed_out)
    {
        co_return co_await this->refuse(status::request_timeout,
                                        "The request's head came too slowly.",
                                        "Send the whole head at once.");
    }
    if (error == beast::http::error::header_limit)
    {
        co_return co_await this->refuse(status::request_header_fields_too_large,
                                        "The request's head is too large.",
                                        "Send fewer headers.");
    }
    if (error == beast::http::error::end_of_stream ||
        error == beast::http::error::partial_message ||
        (error && error.category() == asio::error::get_system_category()))
    {
        co_return false;
    }
    request_message const& head = this->parser->get();
    auto const lengths = head.equal_range(field::content_length);
    auto const frames = head.equal_range(field::transfer_encoding);
    // Two frames for one body could be read in two ways along the path, so
    // that a second request hides in the first one's body.
    bool const ambiguous =
        std::distance(lengths.first, lengths.second) > 1 ||
        std::distance(frames.first, frames.second) > 1 ||
        (lengths.first != lengths.second && frames.first != frames.second) ||
        (frames.first != frames.second && !this->parser->chunked());
    if (error || ambiguous)
    {
        co_return co_await this->refuse(
            status::bad_request, "The request is not valid HTTP/1.1.",
            "Send one Content-Length, or Transfer-Encoding: chunked.");
    }
    this->version = head.version();
    this->head_only = head.method() == beast::http::verb::head;
    this->caller_keeps_alive = this->parser->keep_alive();
    bool const unhosted = this->version >= 11 && head.count(field::host) != 1;
    if (unhosted || head.target().empty() || head.target().front() != '/' ||
        head.method() == beast::http::verb::connect)
    {
        this->caller_keeps_alive = false;
        co_return co_await this->refuse(
            status::bad_request, "The request cannot be carried.",
            "Send one Host header and a target that starts with a slash.");
    }
    co_return true;
}

task<bool> caller_connection::serve_page(std::string_view target)
{
    if (!this->parser->is_done())
    {
        co_return co_await this->refuse(status::payload_too_large,
                                        "This page takes no body.",
                                        "Send it without one.");
    }
    if (target == "/ready")
    {
        bool const ready = this->core->decisions().ready();
        whole_answer page =
            make_page(ready ? status::ok : status::service_unavailable,
                      ready ? R"({"ready":true})" : R"({"ready":false})");
        co_return co_await this->write_whole(std::move(page), no_id);
    }
    std::string_view const query = target.substr(target.find('?') + 1);
    whole_answer page =
        make_steering_page(this->core->decisions(), query, this->address,
                           this->core->settings().names);
    co_return co_await this->write_whole(std::move(page), no_id);
}

bool caller_connection::keeps_alive() const
{
    return this->caller_keeps_alive && !this->core->closing() && !this->gone &&
           this->parser.has_value() && this->parser->is_done();
}

void caller_connection::start_watch()
{
    if (this->watching || this->gone || this->buffer.size() >= largest_ahead)
    {
        return;
    }
    this->watching = true;
    this->socket.async_read_some(
        this->buffer.prepare(read_size),
        [self = this->shared_from_this()](error_code error, std::size_t count)
        {
            self->watching = false;
            self->buffer.commit(count);
            bool const ended_here = error == asio::error::operation_aborted &&
                                    self->socket.is_open();
            if (error && !ended_here)
            {
                self->note_caller_gone();
            }
            if (!error && self->current != nullptr)
            {
                self->start_watch();
            }
            self->wake.notify();
        });
}

void caller_connection::note_caller_gone()
{
    this->gone = true;
    if (this->current != nullptr)
    {
        this->core->dispatch(entry::caller_gone{this->current->number});
    }
}

bool caller_connection::take_memory(std::size_t count)
{
    if (!this->core->reserve(count))
    {
        return false;
    }
    this->memory_held += count;
    return true;
}

void caller_connection::give_memory_back()
{
    this->core->unreserve(std::exchange(this->memory_held, 0));
}

} // namespace bilberrylead::http
