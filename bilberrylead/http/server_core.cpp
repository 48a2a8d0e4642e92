#include "bilberrylead/http/server_core.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/http/caller_connection.hpp"
#include "bilberrylead/http/decision_log.hpp"
#include "bilberrylead/http/upstream_probe.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace bilberrylead::http
{

namespace
{

constexpr part_log logger{"entry"};
/// Timeouts of connections are looked at on every fifth tick: 50 ms.
constexpr std::uint64_t ticks_between_sweeps = 5;
/// Statuses from here on say that the upstream failed.
constexpr std::uint16_t first_failure_status = 500;
/// Limit of an upstream, in requests per second, up to which each request to it
/// gets a line.
constexpr double max_logged_limit = 20;

template <class Event>
concept speaks_of_request = requires(Event const& event) {
    { event.request } -> std::convertible_to<entry::request_number>;
};

} // namespace

server_core::server_core(executor const& place, server_settings settings,
                         process_seed const& seed, outside_sink sink)
    : where(place), chosen(std::move(settings)), outside(std::move(sink)),
      reducer(this->chosen.entry, seed), pool(this->chosen.pool, this->counted),
      answer_pace(this->chosen.link_rate),
      report(
          [this](entry::event happened)
          {
              this->dispatch(std::move(happened));
          }),
      may_send(
          [this](entry::start_upstream const& order)
          {
              return this->reducer.accepts_requests(order.service,
                                                    order.upstream);
          }),
      clock(place)
{
}

void server_core::begin()
{
    this->run_clock();
}

void server_core::run_clock()
{
    this->clock.expires_after(this->chosen.entry.tick);
    this->clock.async_wait(
        [self = this->shared_from_this()](error_code error) noexcept
        {
            if (error || self->stopped)
            {
                return;
            }
            self->dispatch(entry::tick{});
            if (++self->ticks % ticks_between_sweeps == 0)
            {
                self->sweep(clock_now());
            }
            self->run_clock();
        });
}

void server_core::sweep(instant now)
{
    // Copies, because what expires leaves the containers.
    std::vector<std::shared_ptr<upstream_exchange>> exchanges;
    for (auto const& [number, request] : this->carried)
    {
        if (request->exchange != nullptr)
        {
            exchanges.push_back(request->exchange);
        }
    }
    for (std::shared_ptr<upstream_exchange> const& exchange : exchanges)
    {
        exchange->expire(now);
    }
    for (caller_connection* connection : this->connections)
    {
        connection->expire(now);
    }
    this->pool.sweep(now);
    if (!this->taking_callers)
    {
        this->close_idle_callers();
    }
    this->end_drain();
}

void server_core::close_idle_callers()
{
    for (caller_connection* connection : this->connections)
    {
        if (!connection->busy())
        {
            connection->cut();
        }
    }
}

void server_core::stop()
{
    this->stopped = true;
    this->clock.cancel();
    for (auto const& [number, request] : this->carried)
    {
        if (request->exchange != nullptr)
        {
            request->exchange->cancel();
            request->exchange = nullptr;
        }
    }
    for (caller_connection* connection : this->connections)
    {
        connection->cut();
    }
}

void server_core::dispatch(entry::event happened) noexcept
{
    this->queue.push_back(std::move(happened));
    if (this->dispatching)
    {
        return;
    }
    this->dispatching = true;
    while (!this->queue.empty())
    {
        entry::event const next = std::move(this->queue.front());
        this->queue.pop_front();
        for (entry::effect const& decided :
             this->reducer.reduce(next, clock_now()))
        {
            this->carry_out(decided);
        }
        std::visit(
            [this](auto const& event)
            {
                if constexpr (speaks_of_request<std::decay_t<decltype(event)>>)
                {
                    this->release_if_over(event.request);
                }
            },
            next);
    }
    this->dispatching = false;
}

void server_core::carry_out(entry::effect const& decided)
{
    if (entry::start_upstream const* order =
            std::get_if<entry::start_upstream>(&decided))
    {
        this->start(*order);
    }
    else if (entry::stream_answer const* passed =
                 std::get_if<entry::stream_answer>(&decided))
    {
        carried_request* request = this->find(passed->request);
        if (request != nullptr)
        {
            this->answer(passed->request, stream_reply{request->exchange});
        }
    }
    else if (entry::collect_answer const* taken =
                 std::get_if<entry::collect_answer>(&decided))
    {
        carried_request* request = this->find(taken->request);
        if (request != nullptr)
        {
            request->exchange->collect(this->chosen.largest_collected,
                                       this->chosen.largest_recorded);
        }
    }
    else if (entry::answer_collected const* ready =
                 std::get_if<entry::answer_collected>(&decided))
    {
        carried_request* request = this->find(ready->request);
        if (request != nullptr)
        {
            this->answer(ready->request,
                         recorded_reply{std::move(request->collected)});
        }
    }
    else if (entry::answer_not_run const* not_run =
                 std::get_if<entry::answer_not_run>(&decided))
    {
        this->answer(not_run->request, *not_run);
    }
    else if (entry::answer_unknown const* unknown =
                 std::get_if<entry::answer_unknown>(&decided))
    {
        this->answer(unknown->request, *unknown);
    }
    else if (entry::answer_recorded const* record =
                 std::get_if<entry::answer_recorded>(&decided))
    {
        this->answer(record->request, recorded_reply{record->answer});
    }
    else if (entry::answer_problem const* problem =
                 std::get_if<entry::answer_problem>(&decided))
    {
        this->answer(problem->request, *problem);
    }
    else if (entry::cancel_upstream const* ended =
                 std::get_if<entry::cancel_upstream>(&decided))
    {
        carried_request* request = this->find(ended->request);
        if (request != nullptr && request->exchange != nullptr)
        {
            std::exchange(request->exchange, nullptr)->cancel();
        }
    }
    else if (entry::request_ended const* end =
                 std::get_if<entry::request_ended>(&decided))
    {
        this->log_end(*end);
    }
    else if (entry::probe_upstream const* wanted =
                 std::get_if<entry::probe_upstream>(&decided))
    {
        this->probe(*wanted);
    }
    else if (entry::connection_loss_resolved const* settled =
                 std::get_if<entry::connection_loss_resolved>(&decided))
    {
        log_loss(*settled);
    }
    else if (entry::limited_request_sent const* sent =
                 std::get_if<entry::limited_request_sent>(&decided))
    {
        this->log_sent(*sent);
    }
    else if (entry::upstream_limit_changed const* limited =
                 std::get_if<entry::upstream_limit_changed>(&decided))
    {
        log_limit(*limited);
    }
    else if (entry::upstreams_restarted const* restarted =
                 std::get_if<entry::upstreams_restarted>(&decided))
    {
        log_restarts(*restarted);
    }
    else if (entry::home_scope_changed const* scope =
                 std::get_if<entry::home_scope_changed>(&decided))
    {
        log_home_scope(*scope);
    }
    else if (entry::upstream_rest_requested const* rest =
                 std::get_if<entry::upstream_rest_requested>(&decided))
    {
        log_rest(*rest, this->id_of(rest->request));
    }
    else if (entry::upstream_leaving_noticed const* leaving =
                 std::get_if<entry::upstream_leaving_noticed>(&decided))
    {
        log_leaving(*leaving, this->id_of(leaving->request));
    }
    else if (entry::close_idle_connections const* closed =
                 std::get_if<entry::close_idle_connections>(&decided))
    {
        this->pool.drop_idle(closed->address);
    }
    else if (entry::crash_record_changed const* changed =
                 std::get_if<entry::crash_record_changed>(&decided))
    {
        log_crash_record(*changed);
    }
    else if (std::holds_alternative<entry::close_connections_after_answer>(
                 decided))
    {
        logger.info("The drain has begun; answers end their connections.");
        this->close_after_answer = true;
    }
    else if (std::holds_alternative<entry::stop_accepting_connections>(decided))
    {
        logger.info("No new connections are taken from now on.");
        this->taking_callers = false;
        if (this->stop_accepting)
        {
            this->stop_accepting();
        }
    }
    else if (std::holds_alternative<entry::drained>(decided))
    {
        this->drain_ended = true;
        this->end_drain();
    }
    else if (this->outside)
    {
        this->outside(decided);
    }
}

/// Each failure has its line. Of plain successes one in some is written,
/// chosen by the request's id: the same one on every host that it passed.
bool server_core::is_sampled(std::string const& id) const
{
    return std::hash<std::string>{}(id) % this->chosen.success_sample == 0;
}

void server_core::log_sent(entry::limited_request_sent const& sent)
{
    std::string const id = this->id_of(sent.request);
    if (sent.use.per_second <= max_logged_limit || this->is_sampled(id))
    {
        log_limited_request(sent, id);
    }
}

void server_core::log_end(entry::request_ended const& end)
{
    std::string const id = this->id_of(end.request);
    bool const plain = end.outcome == entry::request_outcome::answered &&
                       end.status < first_failure_status &&
                       end.tried.size() <= 1;
    if (plain && !this->is_sampled(id))
    {
        return;
    }
    log_request(end, id);
}

void server_core::start(entry::start_upstream const& order)
{
    auto const found = this->carried.find(order.request);
    if (found == this->carried.end())
    {
        return;
    }
    found->second->exchange = std::make_shared<upstream_exchange>(
        this->where, this->pool, this->report, this->may_send,
        this->chosen.names, found->second, order);
    found->second->exchange->begin();
}

void server_core::probe(entry::probe_upstream const& wanted)
{
    probe_upstream(
        this->where, wanted.address, this->chosen.pool.connect_timeout,
        [self = this->weak_from_this(),
         upstream = wanted.upstream](entry::probe_outcome outcome)
        {
            std::shared_ptr<server_core> const core = self.lock();
            if (core != nullptr && !core->stopped)
            {
                core->dispatch(entry::upstream_probed{upstream, outcome});
            }
        });
}

void server_core::answer(entry::request_number number, http::reply decided)
{
    carried_request* request = this->find(number);
    if (request != nullptr &&
        std::holds_alternative<std::monostate>(request->reply))
    {
        request->reply = std::move(decided);
        if (request->replied)
        {
            request->replied();
        }
    }
}

void server_core::end_drain()
{
    bool const busy =
        std::any_of(this->connections.begin(), this->connections.end(),
                    [](caller_connection const* connection)
                    {
                        return connection->busy();
                    });
    if (!this->drain_ended || busy || !this->outside)
    {
        return;
    }
    this->drain_ended = false;
    logger.info("The drain has ended; nothing is under way.");
    for (caller_connection* connection : this->connections)
    {
        connection->cut();
    }
    this->outside(entry::drained{});
}

std::shared_ptr<carried_request> server_core::make_request()
{
    std::shared_ptr<carried_request> request =
        std::make_shared<carried_request>();
    ++this->last_number;
    request->number = static_cast<entry::request_number>(this->last_number);
    request->id =
        this->chosen.request_id_prefix + std::to_string(this->last_number);
    this->carried.emplace(request->number, request);
    return request;
}

carried_request* server_core::find(entry::request_number number)
{
    auto const found = this->carried.find(number);
    return found == this->carried.end() ? nullptr : found->second.get();
}

std::string server_core::id_of(entry::request_number number)
{
    carried_request const* const request = this->find(number);
    return request == nullptr ? std::string() : request->id;
}

void server_core::leave(entry::request_number number)
{
    carried_request* request = this->find(number);
    if (request != nullptr)
    {
        request->caller_left = true;
        this->release_if_over(number);
    }
}

void server_core::release_if_over(entry::request_number number)
{
    auto const found = this->carried.find(number);
    if (found != this->carried.end() && found->second->caller_left &&
        !this->reducer.contains(number))
    {
        // Request and exchange hold each other, also by a reply that its caller
        // did not wait for.
        found->second->exchange = nullptr;
        found->second->reply = std::monostate{};
        this->carried.erase(found);
    }
}

config::caller_limits server_core::caller_limits() const
{
    config::caller_limits const* const configured =
        this->reducer.caller_limits();
    if (configured != nullptr)
    {
        return *configured;
    }
    config::caller_limits limits;
    limits.header_bytes = this->chosen.largest_head;
    limits.header_timeout = this->chosen.head_timeout;
    limits.idle_timeout = this->chosen.idle_timeout;
    return limits;
}

bool server_core::reserve(std::size_t count)
{
    if (this->counted.memory_in_use + count > this->chosen.memory)
    {
        return false;
    }
    this->counted.memory_in_use += count;
    return true;
}

void server_core::unreserve(std::size_t count)
{
    this->counted.memory_in_use -= count;
}

bool server_core::enter(caller_connection& connection)
{
    if (this->stopped ||
        this->connections.size() >= this->chosen.largest_connections)
    {
        ++this->counted.connections_refused;
        return false;
    }
    this->connections.insert(&connection);
    this->counted.caller_connections = this->connections.size();
    return true;
}

void server_core::forget(caller_connection& connection)
{
    this->connections.erase(&connection);
    this->counted.caller_connections = this->connections.size();
}

} // namespace bilberrylead::http
