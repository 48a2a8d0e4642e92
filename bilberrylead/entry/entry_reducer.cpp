#include "bilberrylead/entry/entry_reducer.hpp"

#include "bilberrylead/core/process_seed.hpp"

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
/// Share of the time to stop, in thousandths, in which callers are still
/// taken: most of them have a new steering answer by then, and the rest is
/// longer than a request lasts.
constexpr std::int64_t stop_share_for_taking = 450;

} // namespace

entry_reducer::entry_reducer(entry_settings settings, process_seed const& seed)
    : chosen(std::move(settings)), draws(seed.of(random_sequence::route_split)),
      placement_seed(seed.of(random_sequence::placement))
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
    bool const has_upstreams =
        !this->chosen.upstreams_are_listed || this->listed != nullptr;
    return this->routing != nullptr && has_upstreams && !this->draining();
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
        .try_emplace(
            service,
            known == nullptr ? config::work_length::brief : known->length,
            this->placement_seed + this->states.size(), this->chosen.placement)
        .first->second;
}

void entry_reducer::on(request_arrived const& happened)
{
    this->last_work = this->now;
    if (this->routing == nullptr)
    {
        this->refuse_arrival(happened, refusal_reason::not_ready);
        return;
    }
    live_request request;
    request.number = happened.request;
    request.arrived = this->now;
    request.routed_by = this->revision;
    bool filled = false;
    if (this->routing->has_routes())
    {
        config::request_route const* const route =
            this->routing->find_route(happened.host, happened.path);
        filled = route != nullptr &&
                 this->fill_from_route(request, *route, happened);
    }
    else
    {
        filled = this->fill_from_service(request, happened);
    }
    if (!filled)
    {
        this->problem(happened.request, {}, status_not_found,
                      refusal_reason::unknown_service, duration::zero());
        return;
    }
    if (request.guarded && happened.idempotency_key.empty())
    {
        this->problem(happened.request, request.service, status_bad_request,
                      refusal_reason::key_missing, duration::zero());
        return;
    }
    instant const asked = happened.time_left.has_value()
                              ? this->now + *happened.time_left
                              : request.deadline;
    // A service's deadline is for callers that name none; a route's timeout
    // bounds every caller.
    request.deadline =
        this->routing->has_routes() ? std::min(asked, request.deadline) : asked;
    if (request.deadline <= this->now)
    {
        this->refuse_arrival(happened, refusal_reason::deadline);
        return;
    }
    request.digest = happened.digest;
    request.body_kept = happened.body_kept;
    request.maybe_ran_before = happened.repeated;
    request.caller = happened.caller;
    request.caller_address = happened.caller_address;
    request.flow =
        static_cast<std::uint32_t>(std::hash<caller_id>{}(happened.caller));
    if (request.guarded)
    {
        request.claim = {request.service, happened.caller,
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
    duration const taking =
        this->chosen.steering_ttl + this->chosen.drain_quiet;
    bool const is_bounded = this->chosen.stop_time > duration::zero();
    duration const bounded =
        this->chosen.stop_time / full_share * stop_share_for_taking;
    if (this->now >= this->drain_began +
                         (is_bounded ? std::min(taking, bounded) : taking) &&
        this->drain.expire_answers() && is_bounded)
    {
        // Whoever comes now would not be served to the end in time; a
        // refused connection sends it elsewhere at once.
        this->out.push_back(stop_taking_callers{});
    }
    bool const quiet =
        is_bounded || this->now >= this->last_work + this->chosen.drain_quiet;
    if (quiet && this->live.empty() && this->drain.end())
    {
        this->out.push_back(drained{});
    }
}

} // namespace bilberrylead::entry
