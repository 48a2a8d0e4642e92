#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <variant>

namespace bilberrylead::entry
{

namespace
{

constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;

} // namespace

entry_reducer::entry_reducer(entry_settings settings)
    : chosen(std::move(settings)), upstreams(this->chosen.zone)
{
}

effects entry_reducer::reduce(event const& happened, instant time)
{
    // The clock of events never runs backwards, whatever the caller does.
    this->now = std::max(this->now, time);
    this->out.clear();
    std::visit(
        [this](auto const& each)
        {
            this->on(each);
        },
        happened);
    this->serve_freed();
    return std::move(this->out);
}

bool entry_reducer::ready() const
{
    return this->routing != nullptr && !this->drain_started;
}

config::service const* entry_reducer::find_service(service_id const& id) const
{
    return this->routing == nullptr ? nullptr : this->routing->find_service(id);
}

entry_counters const& entry_reducer::counters()
{
    this->counted.slots_in_use = this->upstreams.slots_in_use();
    this->counted.waiting = 0;
    for (auto const& [service, line] : this->lines)
    {
        this->counted.waiting += line.size();
    }
    return this->counted;
}

void entry_reducer::on(configuration_received const& happened)
{
    // A late message or a neighbour that lags must not bring back what an
    // operator has already changed.
    if (happened.revision <= this->revision || happened.content == nullptr)
    {
        return;
    }
    this->revision = happened.revision;
    this->routing = std::make_unique<routing_table const>(happened.content);
    this->serve_all_waiting();
}

void entry_reducer::on(request_arrived const& happened)
{
    this->last_work = this->now;
    if (this->routing == nullptr)
    {
        this->refuse_arrival(happened, refusal_reason::not_ready);
        return;
    }
    config::service const* service = this->find_service(happened.service);
    if (service == nullptr)
    {
        this->problem(happened.request, {}, status_not_found,
                      refusal_reason::unknown_service, duration::zero());
        return;
    }
    if (service->guarded && happened.idempotency_key.empty())
    {
        this->problem(happened.request, service->id, status_bad_request,
                      refusal_reason::key_missing, duration::zero());
        return;
    }
    duration const time_left = happened.time_left.value_or(service->deadline);
    if (time_left <= duration::zero())
    {
        this->refuse_arrival(happened, refusal_reason::deadline);
        return;
    }
    live_request request;
    request.number = happened.request;
    request.service = service->id;
    request.guarded = service->guarded;
    request.repeatable = service->idempotent && !service->guarded;
    request.body_kept = happened.body_kept;
    request.progress_timeout = service->progress_timeout;
    request.caller = happened.caller;
    request.caller_address = happened.caller_address;
    request.arrived = this->now;
    request.deadline = this->now + time_left;
    if (service->guarded)
    {
        request.claim = {service->id, happened.caller,
                         happened.idempotency_key};
    }
    this->admit(std::move(request));
    live_request* admitted = this->find(happened.request);
    if (admitted != nullptr && admitted->state == request_state::claiming)
    {
        this->out.push_back(request_claim{admitted->number, admitted->claim,
                                          happened.body_digest});
    }
}

void entry_reducer::admit(live_request arrived)
{
    live_request& request =
        this->live.emplace(arrived.number, std::move(arrived)).first->second;
    this->set_wake(request, request.deadline);
    if (!request.guarded)
    {
        this->place(request);
        return;
    }
    // What would be turned away anyway is turned away before its claim
    // costs a quorum round trip.
    if (this->lines[request.service].size() >= this->chosen.waiting_limit)
    {
        this->refuse(request, refusal_reason::no_room);
        return;
    }
    if (!this->may_be_served_later(request))
    {
        this->refuse(request, refusal_reason::no_upstream);
        return;
    }
    if (!this->control_answers)
    {
        this->refuse(request, refusal_reason::claim_refused);
        return;
    }
    request.state = request_state::claiming;
}

void entry_reducer::place(live_request& request)
{
    request.state = request_state::waiting;
    std::deque<request_number>& line = this->lines[request.service];
    if (line.empty() && this->start(request))
    {
        return;
    }
    if (!this->may_be_served_later(request))
    {
        this->refuse(request, refusal_reason::no_upstream);
        return;
    }
    if (line.size() >= this->chosen.waiting_limit)
    {
        this->refuse(request, refusal_reason::no_room);
        return;
    }
    line.push_back(request.number);
}

bool entry_reducer::start(live_request& request)
{
    assert(request.state == request_state::waiting);
    config::upstream const* upstream = this->upstreams.choose(
        this->reachable(request), request.tried, this->now);
    if (upstream == nullptr)
    {
        return false;
    }
    this->upstreams.take_slot(upstream->id);
    request.tried.push_back(upstream->id);
    request.state = request_state::running;
    bool const last_try = !request.repeatable || !request.body_kept ||
                          request.tried.size() >= this->chosen.attempts;
    duration const left = request.deadline - this->now;
    this->set_wake(request,
                   last_try
                       ? request.deadline
                       : this->now + left / 1000 * this->chosen.attempt_share);
    this->out.push_back(
        start_upstream{request.number, upstream->id, upstream->address,
                       request.deadline, request.progress_timeout,
                       !request.repeatable, request.tried.size() > 1});
    return true;
}

std::vector<config::upstream const*>
entry_reducer::reachable(live_request const& request) const
{
    std::vector<config::upstream const*> found;
    caller_place const caller = this->routing->place_of(request.caller_address);
    for (config::upstream const* upstream :
         this->routing->upstreams_of(request.service))
    {
        if (this->routing->reaches(caller, *upstream))
        {
            found.push_back(upstream);
        }
    }
    return found;
}

bool entry_reducer::may_be_served_later(live_request const& request) const
{
    std::vector<config::upstream const*> const all = this->reachable(request);
    return std::any_of(
        all.begin(), all.end(),
        [this, &request](config::upstream const* upstream)
        {
            bool const tried =
                std::find(request.tried.begin(), request.tried.end(),
                          upstream->id) != request.tried.end();
            return !tried && this->upstreams.takes_work(*upstream, this->now);
        });
}

void entry_reducer::serve_waiting(service_id const& service)
{
    auto const found = this->lines.find(service);
    if (found == this->lines.end())
    {
        return;
    }
    std::deque<request_number>& line = found->second;
    while (!line.empty())
    {
        live_request* first = this->find(line.front());
        assert(first != nullptr);
        if (this->start(*first))
        {
            line.pop_front();
            continue;
        }
        if (this->may_be_served_later(*first))
        {
            return;
        }
        this->refuse(*first, refusal_reason::no_upstream);
    }
}

void entry_reducer::serve_all_waiting()
{
    for (auto const& [service, line] : this->lines)
    {
        this->freed.insert(service);
    }
}

void entry_reducer::serve_freed()
{
    // Last in every event and not where a slot is freed: a refusal within
    // may free another one while its service's line is being walked.
    while (!this->freed.empty())
    {
        service_id const service =
            this->freed.extract(this->freed.begin()).value();
        this->serve_waiting(service);
    }
}

void entry_reducer::on(load_reported const& happened)
{
    if (happened.leaving)
    {
        this->upstreams.note_leaving(happened.upstream,
                                     this->now + this->chosen.leaving_memory);
        this->serve_all_waiting();
    }
}

void entry_reducer::on(control_reachable const& /*happened*/)
{
    this->control_answers = true;
}

void entry_reducer::on(control_unreachable const& /*happened*/)
{
    this->control_answers = false;
}

void entry_reducer::on(drain_requested const& /*happened*/)
{
    if (this->drain_started)
    {
        return;
    }
    this->drain_started = true;
    this->drain_began = this->now;
    this->out.push_back(close_callers_after_answer{});
}

void entry_reducer::look_for_drain_end()
{
    // Callers may hold a steering answer that names this host until it
    // expires, so requests are taken until then and a little longer.
    bool const expired = this->now >= this->drain_began +
                                          this->chosen.steering_ttl +
                                          this->chosen.drain_quiet;
    bool const quiet = this->now >= this->last_work + this->chosen.drain_quiet;
    if (this->drain_started && !this->drain_reported && expired && quiet &&
        this->live.empty())
    {
        this->drain_reported = true;
        this->out.push_back(drained{});
    }
}

} // namespace bilberrylead::entry
