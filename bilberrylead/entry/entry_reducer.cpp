#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <cassert>
#include <variant>

namespace bilberrylead::entry
{

namespace
{

constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
/// What a share is counted in.
constexpr std::int64_t full_share = 1000;

refusal_reason reason_of(policy::refusal_reason reason)
{
    switch (reason)
    {
    case policy::refusal_reason::caller_over_share:
        return refusal_reason::caller_share;
    case policy::refusal_reason::no_upstream:
        return refusal_reason::no_upstream;
    case policy::refusal_reason::deadline_passed:
        return refusal_reason::deadline;
    case policy::refusal_reason::wait_too_long:
    case policy::refusal_reason::queue_full:
    case policy::refusal_reason::no_headroom:
    case policy::refusal_reason::owner_changed:
        break;
    }
    return refusal_reason::no_room;
}

} // namespace

entry_reducer::entry_reducer(entry_settings settings)
    : chosen(std::move(settings))
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
    return this->routing != nullptr && !this->draining();
}

config::service const* entry_reducer::find_service(service_id const& id) const
{
    return this->routing == nullptr ? nullptr : this->routing->find_service(id);
}

entry_counters const& entry_reducer::counters()
{
    this->counted.slots_in_use = 0;
    this->counted.waiting = 0;
    for (auto const& [service, state] : this->states)
    {
        this->counted.slots_in_use += state.in_use();
        this->counted.waiting += state.waiting();
    }
    return this->counted;
}

service_state& entry_reducer::state_of(service_id const& service)
{
    auto const found = this->states.find(service);
    if (found != this->states.end())
    {
        return found->second;
    }
    config::service const* known = this->find_service(service);
    return this->states
        .try_emplace(service,
                     known == nullptr ? config::work_length::brief
                                      : known->length,
                     this->chosen.seed + this->states.size())
        .first->second;
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
    std::unique_ptr<routing_table const> const old = std::move(this->routing);
    this->routing = std::make_unique<routing_table const>(happened.content);
    for (config::service const& service : happened.content->services)
    {
        this->state_of(service.id);
    }
    this->place_again();
}

void entry_reducer::place_again()
{
    std::vector<std::uint64_t> waiting;
    for (auto& [service, state] : this->states)
    {
        std::vector<std::uint64_t> const taken = state.take_waiting(this->now);
        waiting.insert(waiting.end(), taken.begin(), taken.end());
        std::vector<configured_upstream> upstreams;
        for (config::upstream const* each :
             this->routing->upstreams_of(service))
        {
            upstreams.push_back(
                {each, this->routing->distance(this->chosen.zone, each->zone)});
        }
        state.configure(std::move(upstreams));
    }
    for (auto& [number, request] : this->live)
    {
        this->find_reach(request);
    }
    for (std::uint64_t const ticket : waiting)
    {
        this->place(*this->find(static_cast<request_number>(ticket)));
    }
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
    request.maybe_ran_before = happened.repeated;
    request.progress_timeout = service->progress_timeout;
    request.caller = happened.caller;
    request.caller_address = happened.caller_address;
    request.flow =
        static_cast<std::uint32_t>(std::hash<caller_id>{}(happened.caller));
    request.arrived = this->now;
    request.deadline = this->now + time_left;
    if (service->guarded)
    {
        request.claim = {service->id, happened.caller,
                         happened.idempotency_key};
    }
    this->admit(std::move(request));
    live_request* admitted = this->find(happened.request);
    if (admitted != nullptr &&
        admitted->life.current() == request_state::claiming)
    {
        this->out.push_back(request_claim{admitted->number, admitted->claim,
                                          happened.body_digest});
    }
}

void entry_reducer::admit(live_request arrived)
{
    live_request& request =
        this->live.emplace(arrived.number, std::move(arrived)).first->second;
    this->find_reach(request);
    this->set_wake(request, request.deadline);
    if (!request.guarded)
    {
        this->place(request);
        return;
    }
    // What would be turned away anyway is turned away before its claim
    // costs a quorum round trip.
    if (!this->state_of(request.service).takes_work(request.reached, this->now))
    {
        this->refuse(request, refusal_reason::no_upstream);
        return;
    }
    if (!this->claim_is_worth_it(request))
    {
        this->refuse(request, refusal_reason::no_room);
        return;
    }
    if (!this->control_answers)
    {
        this->refuse(request, refusal_reason::claim_refused);
        return;
    }
    request.life.claim();
}

bool entry_reducer::claim_is_worth_it(live_request const& request)
{
    service_state& state = this->state_of(request.service);
    duration const wait =
        state.expected_wait(request.flow, request.reached, this->now);
    return wait == duration::zero() ||
           this->now + wait + state.usual_answer() <= request.deadline;
}

void entry_reducer::find_reach(live_request& request) const
{
    request.reached.clear();
    if (!this->routing->has_selectors(request.service))
    {
        return;
    }
    caller_place const caller = this->routing->place_of(request.caller_address);
    for (config::upstream const* upstream :
         this->routing->upstreams_of(request.service))
    {
        request.reached.push_back(this->routing->reaches(caller, *upstream));
    }
}

policy::waiting_request
entry_reducer::waiting_form(live_request const& request) const
{
    policy::waiting_request form;
    form.ticket = static_cast<std::uint64_t>(request.number);
    form.flow = request.flow;
    form.arrived = request.arrived;
    form.deadline = request.deadline;
    return form;
}

void entry_reducer::place(live_request& request)
{
    request.life.wait();
    this->set_wake(request, request.deadline);
    policy::admission_verdict const verdict =
        this->state_of(request.service)
            .offer(this->waiting_form(request), request.reached, this->now);
    if (policy::refuse const* refused = std::get_if<policy::refuse>(&verdict))
    {
        // It is in no queue, so nothing has to take it out.
        request.life.pause();
        this->refuse(request, reason_of(refused->reason), refused->retry_after);
        return;
    }
    if (std::holds_alternative<policy::admit>(verdict))
    {
        this->start(request);
    }
}

void entry_reducer::start(live_request& request)
{
    assert(request.life.current() == request_state::waiting);
    service_state& state = this->state_of(request.service);
    config::upstream const* upstream =
        state.choose(request.reached, request.tried, this->now);
    if (upstream == nullptr)
    {
        request.life.pause();
        this->refuse(request, refusal_reason::no_upstream);
        return;
    }
    state.take_slot(upstream->id);
    request.tried.push_back(upstream->id);
    request.life.send();
    request.sent = this->now;
    bool const last_try =
        !request.repeatable || !request.body_kept ||
        request.tried.size() >= this->chosen.retry.most_attempts;
    duration const share = (request.deadline - this->now) / full_share *
                           this->chosen.attempt_share;
    this->set_wake(request, last_try ? request.deadline : this->now + share);
    this->out.push_back(
        start_upstream{request.number, upstream->id, upstream->address,
                       request.deadline, request.progress_timeout,
                       !request.repeatable, request.tried.size() > 1});
}

void entry_reducer::serve_waiting(service_state& state)
{
    while (std::optional<std::uint64_t> const ticket = state.next(this->now))
    {
        live_request* first = this->find(static_cast<request_number>(*ticket));
        assert(first != nullptr);
        this->start(*first);
    }
}

void entry_reducer::refuse_expired(service_state& state)
{
    while (std::optional<std::uint64_t> const ticket =
               state.next_expired(this->now))
    {
        live_request* late = this->find(static_cast<request_number>(*ticket));
        assert(late != nullptr);
        late->life.pause();
        this->refuse(*late, refusal_reason::deadline);
    }
}

void entry_reducer::serve_freed()
{
    // Last in every event and not where a slot is freed: a refusal within
    // may free another one while its service's queue is being walked.
    while (!this->freed.empty())
    {
        service_id const service =
            this->freed.extract(this->freed.begin()).value();
        this->serve_waiting(this->state_of(service));
    }
}

void entry_reducer::on(load_reported const& happened)
{
    for (auto& [service, state] : this->states)
    {
        if (!state.has(happened.upstream))
        {
            continue;
        }
        state.note_report(happened.upstream, happened.slots_in_use, this->now);
        if (happened.leaving)
        {
            state.note_leaving(happened.upstream,
                               this->now + this->chosen.leaving_memory);
        }
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
    if (this->drain.begin())
    {
        this->drain_began = this->now;
        this->out.push_back(close_callers_after_answer{});
    }
}

void entry_reducer::look_for_drain_end()
{
    if (!this->draining())
    {
        return;
    }
    // Callers may hold a steering answer that names this host until it
    // expires, so requests are taken until then and a little longer.
    if (this->now >= this->drain_began + this->chosen.steering_ttl +
                         this->chosen.drain_quiet)
    {
        this->drain.expire_answers();
    }
    bool const quiet = this->now >= this->last_work + this->chosen.drain_quiet;
    if (quiet && this->live.empty() && this->drain.end())
    {
        this->out.push_back(drained{});
    }
}

} // namespace bilberrylead::entry
