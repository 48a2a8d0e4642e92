#include "bilberrylead/http/upstream_exchange.hpp"

#include "bilberrylead/core/http_status.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/header_rules.hpp"
#include "bilberrylead/http/region_header.hpp"
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
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberrylead::http
{

namespace
{

constexpr part_log log{"http"};
constexpr std::size_t piece_size = std::size_t{16} << 10U;
/// Answers to earlier requests that are skipped in front of the own one.
constexpr unsigned most_skipped_answers = 2;
/// Bytes of such an answer; a longer one costs more than a new connection.
constexpr std::size_t largest_skipped_answer = std::size_t{256} << 10U;

/// By the number: a status that Beast does not know by name has a class, too.
beast::http::status_class class_of(answer_parser const& parser)
{
    return beast::http::to_status_class(parser.get().result_int());
}

} // namespace

upstream_exchange::upstream_exchange(executor const& place, upstream_pool& kept,
                                     event_sink const& sink,
                                     send_check const& check,
                                     header_names const& known_names,
                                     std::shared_ptr<carried_request> carried,
                                     entry::start_upstream started)
    : where(place), pool(kept), report(sink), may_send(check),
      names(known_names), request(std::move(carried)), order(std::move(started))
{
}

upstream_exchange::~upstream_exchange() = default;

void upstream_exchange::begin()
{
    asio::co_spawn(
        this->where,
        [self = this->shared_from_this()]() -> task<void>
        {
            co_await self->run();
        },
        link::connection_guard(this->where,
                               [self = this->shared_from_this()]
                               {
                                   self->end_by_exception();
                               }));
}

void upstream_exchange::end_by_exception()
{
    log.error("An exchange with the upstream {} is ended by an exception.",
              this->order.upstream.text());
    if (!this->over)
    {
        this->fail(entry::exchange_fault::bad_answer);
    }
}

task<void> upstream_exchange::run()
{
    this->began = clock_now();
    // Each await is a statement of its own: g++ 12 destroys frames wrongly
    // when one stands in a condition.
    bool goes_on = co_await this->connect();
    goes_on = goes_on && !this->withdraw();
    if (goes_on)
    {
        goes_on = co_await this->send();
    }
    if (goes_on)
    {
        goes_on = co_await this->read_head();
    }
    if (goes_on)
    {
        co_await this->report_head();
    }
}

task<bool> upstream_exchange::connect()
{
    pool_settings const& settings = this->pool.settings();
    if (!this->order.new_connection_only)
    {
        this->connection =
            this->pool.take(this->order.address,
                            this->order.run_once ? settings.run_once_idle_limit
                                                 : settings.idle_limit,
                            this->began);
    }
    if (this->connection != nullptr)
    {
        co_return true;
    }
    ++this->pool.counters().upstream_opened;
    this->connection =
        std::make_unique<upstream_connection>(this->where, this->order.address);
    this->give_up_at = this->began + settings.connect_timeout;
    error_code error;
    asio::ip::address const address =
        asio::ip::make_address(this->order.address.address, error);
    if (!error)
    {
        co_await this->connection->socket.async_connect(
            {address, this->order.address.port}, to_task(error));
    }
    if (this->over)
    {
        co_return false;
    }
    if (error)
    {
        this->fail(entry::exchange_fault::connect_failed);
        co_return false;
    }
    this->connection->connected_at = clock_now();
    this->connection->socket.set_option(asio::ip::tcp::no_delay(true), error);
    if (!this->order.to_entry_host)
    {
        this->report(entry::upstream_connected{this->order.upstream});
    }
    co_return !this->over;
}

/// Connecting may take seconds, in which the upstream may have been listed as
/// leaving, its zone may have been closed, or it may have asked for a rest.
bool upstream_exchange::withdraw()
{
    if (this->order.to_entry_host || this->may_send(this->order))
    {
        return false;
    }
    this->fail(entry::exchange_fault::withdrawn);
    return true;
}

void upstream_exchange::address_upstream(request_message& message) const
{
    message.erase(this->names.relayed);
    message.erase(this->names.relayed_regions);
    message.erase(this->names.relayed_revision);
    if (!this->names.customer_key.empty())
    {
        message.erase(this->names.customer_key);
    }
    if (!this->names.expected_upstream.empty())
    {
        message.set(this->names.expected_upstream, this->order.upstream.text());
    }
    if (!this->order.customer.empty() && !this->names.customer.empty())
    {
        message.set(this->names.customer, this->order.customer.text());
    }
}

/// Another entry host identifies the customer by itself.
void upstream_exchange::address_entry_host(request_message& message) const
{
    message.set(this->names.relayed, "1");
    message.set(this->names.relayed_revision,
                std::to_string(this->order.routed_by));
    if (!this->order.regions.empty())
    {
        message.set(this->names.relayed_regions,
                    write_regions(this->order.regions));
    }
    for (std::string const* const name :
         {&this->names.expected_upstream, &this->names.customer})
    {
        if (!name->empty())
        {
            message.erase(*name);
        }
    }
    if (!this->request->customer_key.empty())
    {
        message.set(this->names.customer_key, this->request->customer_key);
    }
}

void upstream_exchange::prepare_message()
{
    request_message& message = this->request->message;
    std::chrono::milliseconds const left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->order.deadline - clock_now());
    message.set(this->names.deadline,
                std::to_string(std::max<std::int64_t>(left.count(), 1)));
    if (this->order.to_entry_host)
    {
        this->address_entry_host(message);
    }
    else
    {
        this->address_upstream(message);
    }
    message.body().data = this->request->kept.data();
    message.body().size = this->request->kept.size();
    message.body().more = !this->request->complete;
}

task<bool> upstream_exchange::send()
{
    this->prepare_message();
    // From here on a byte may have reached the upstream.
    this->phase = entry::exchange_phase::maybe_sent;
    this->give_up_at = clock_now() + this->order.progress_timeout;
    co_await this->send_message();
    // An upstream may answer and close before it has read all; so after a
    // failed write its answer is looked for all the same.
    co_return !this->over;
}

task<void> upstream_exchange::send_message()
{
    error_code error;
    request_message& message = this->request->message;
    beast::http::request_serializer<beast::http::buffer_body> serializer{
        message};
    std::vector<char> piece;
    for (;;)
    {
        co_await beast::http::async_write(this->connection->socket, serializer,
                                          to_task(error));
        if (error == beast::http::error::need_buffer)
        {
            error = {};
        }
        this->request_sent = !error && serializer.is_done();
        if (error || this->over || this->request_sent)
        {
            co_return;
        }
        piece.resize(piece_size);
        this->awaits_caller = true;
        this->give_up_at = instant::max();
        std::size_t const count =
            co_await this->request->read_rest(piece, error);
        if (error && !this->over)
        {
            // The request can never become whole. Only closing the connection
            // tells the upstream.
            this->cancel();
        }
        if (this->over)
        {
            co_return;
        }
        this->awaits_caller = false;
        this->give_up_at = clock_now() + this->order.progress_timeout;
        message.body().data = count > 0 ? piece.data() : nullptr;
        message.body().size = count;
        message.body().more = count > 0;
    }
}

task<bool> upstream_exchange::read_head()
{
    // Work whose caller has stopped waiting may still end well and be
    // recorded, so an answer may be late by one silence.
    this->give_up_at = this->order.deadline + this->order.progress_timeout;

    // Work that may be repeated is not left with an upstream that says
    // nothing: a download's deadline is minutes, and a connection that went
    // silent would hold its slot and its caller for all of them.
    if (!this->order.run_once)
    {
        this->give_up_at = std::min(this->give_up_at,
                                    clock_now() + this->order.progress_timeout);
    }
    for (unsigned skipped = 0; skipped <= most_skipped_answers; ++skipped)
    {
        bool const read = co_await this->read_one_head();
        if (!read)
        {
            co_return false;
        }
        if (!this->answers_another())
        {
            if (!this->is_genuine() || !this->has_known_coding())
            {
                this->fail(entry::exchange_fault::bad_answer);
                co_return false;
            }
            co_return true;
        }

        // An answer that names another request is not this one's, whatever
        // the order of bytes says: a late second answer to an earlier one.
        // The own answer comes behind it.
        ++this->pool.counters().answers_of_others;
        bool const whole = co_await this->skip_answer();
        if (!whole)
        {
            co_return false;
        }
    }
    this->fail(entry::exchange_fault::bad_answer);
    co_return false;
}

task<bool> upstream_exchange::read_one_head()
{
    error_code error;
    do
    {
        this->parser.emplace();
        this->parser->header_limit(upstream_connection::largest_answer_head);
        this->parser->body_limit(boost::none);
        this->parser->skip(this->request->message.method() ==
                           beast::http::verb::head);
        co_await beast::http::async_read_header(this->connection->socket,
                                                this->connection->buffer,
                                                *this->parser, to_task(error));
        if (this->over)
        {
            co_return false;
        }
        if (error)
        {
            this->fail(this->timed_out
                           ? entry::exchange_fault::no_response
                           : entry::exchange_fault::connection_lost);
            co_return false;
        }
        if (!this->has_usable_status())
        {
            this->fail(entry::exchange_fault::bad_answer);
            co_return false;
        }
        this->connection->last_heard = clock_now();
    } while (class_of(*this->parser) ==
             beast::http::status_class::informational);
    co_return true;
}

/// No request asks for a change of protocol, so what follows one is no answer.
bool upstream_exchange::has_usable_status() const
{
    return is_valid_status(this->parser->get().result_int()) &&
           this->parser->get().result() !=
               beast::http::status::switching_protocols;
}

task<bool> upstream_exchange::skip_answer()
{
    std::vector<char> waste(piece_size);
    error_code error;
    std::size_t total = 0;
    while (!this->over && !this->parser->is_done())
    {
        this->parser->get().body().data = waste.data();
        this->parser->get().body().size = waste.size();
        co_await beast::http::async_read_some(this->connection->socket,
                                              this->connection->buffer,
                                              *this->parser, to_task(error));
        if (error == beast::http::error::need_buffer)
        {
            error = {};
        }
        total += waste.size() - this->parser->get().body().size;
        bool const endless =
            this->parser->need_eof() || total > largest_skipped_answer;
        if (!this->over && (error || endless))
        {
            this->fail(this->timed_out ? entry::exchange_fault::no_response
                                       : entry::exchange_fault::bad_answer);
        }
    }
    co_return !this->over;
}

bool upstream_exchange::answers_another() const
{
    beast::string_view const named =
        this->parser->get()[this->names.request_id];
    return !named.empty() && named != this->request->id;
}

/// Where upstreams mark their answers, a success without the mark, or in a
/// coding that nobody asked for, is not what the upstream meant to say.
bool upstream_exchange::is_genuine() const
{
    bool const success =
        class_of(*this->parser) == beast::http::status_class::successful;
    if (this->names.answer_mark.empty() || !success)
    {
        return true;
    }
    return !this->parser->get()[this->names.answer_mark].empty() &&
           this->parser->get()[beast::http::field::content_encoding].empty();
}

/// Requests name no transfer coding, so an answer may be in chunks and nothing
/// else. Any other value, or one that was cut, leaves its end unknown.
bool upstream_exchange::has_known_coding() const
{
    beast::http::fields const& fields = this->parser->get();
    std::size_t const count =
        fields.count(beast::http::field::transfer_encoding);
    return count == 0 ||
           (count == 1 &&
            beast::iequals(fields[beast::http::field::transfer_encoding],
                           "chunked"));
}

void upstream_exchange::cancel()
{
    if (this->over)
    {
        return;
    }
    if (this->phase == entry::exchange_phase::maybe_sent)
    {
        this->note_silence();
    }
    this->over = true;
    this->close();
}

void upstream_exchange::expire(instant now)
{
    if (this->over || now < this->give_up_at)
    {
        return;
    }
    this->timed_out = true;
    this->give_up_at = instant::max();
    this->note_silence();
    error_code ignored;
    this->connection->socket.close(ignored);
}

void upstream_exchange::note_silence()
{
    instant const now = clock_now();
    if (this->connection != nullptr && this->connection->reused &&
        !this->awaits_caller &&
        now >= this->began + this->pool.settings().silence_suspicion)
    {
        this->pool.suspect(this->order.address, this->began);
    }
}

void upstream_exchange::fail(entry::exchange_fault fault)
{
    assert(!this->over);
    this->over = true;
    this->close();
    this->report(
        entry::upstream_failed{this->request->number, this->phase, fault});
}

void upstream_exchange::close()
{
    this->give_up_at = instant::max();
    if (this->connection != nullptr)
    {
        error_code ignored;
        this->connection->socket.close(ignored);
    }
}

} // namespace bilberrylead::http
