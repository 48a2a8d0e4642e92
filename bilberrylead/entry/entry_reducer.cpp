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
/// Shares are given in thousandths.
constexpr std::int64_t per_mille = 1000;
/// Share of the stop time, in thousandths, during which requests are still
/// accepted. By then most callers have a new steering answer, and the remaining
/// time is longer than a request takes.
constexpr std::int64_t accepting_share_of_stop = 450;
/// Time before the end of a stop by which an answer must be complete: it still
/// has to reach the caller.
constexpr std::chrono::milliseconds stop_margin{200};

} // namespace

entry_reducer::entry_reducer(entry_settings settings, process_seed const& seed)
    : host_settings(std::move(settings)),
      split_random(seed.of(random_sequence::route_split)),
      customer_random(seed.of(random_sequence::customer_limit)),
      probe_random(seed.of(random_sequence::contact_probe)),
      placement_seed(seed.of(random_sequence::placement)),
      customer_limits(this->host_settings.self,
                      this->host_settings.customer_limits)
{
}

effects entry_reducer::reduce(event const& event, instant time)
{
    // Keeps the time of events monotonic, even if the passed times are not.
    this->now = std::max(this->now, time);
    this->pending_effects.clear();
    std::visit(
        [this](auto const& each)
        {
            this->on(each);
        },
        event);
    this->dispatch_services();
    return std::move(this->pending_effects);
}

bool entry_reducer::ready() const
{
    bool const has_upstreams = !this->host_settings.upstreams_are_listed ||
                               this->upstream_list != nullptr;
    return this->routing != nullptr && has_upstreams && !this->draining();
}

config::service const* entry_reducer::find_service(service_id const& id) const
{
    return this->routing == nullptr ? nullptr : this->routing->find_service(id);
}

entry_counters const& entry_reducer::counters()
{
    this->current_counters.slots_in_use = 0;
    this->current_counters.waiting = 0;
    this->current_counters.upstream_contact_lost = this->contact.is_lost();
    this->current_counters.resting_upstreams = 0;
    this->current_counters.leaving_upstreams = 0;
    for (auto const& [service, state] : this->service_states)
    {
        this->current_counters.resting_upstreams +=
            state.resting_upstreams(this->now);
        this->current_counters.leaving_upstreams +=
            state.leaving_upstreams(this->now);
        this->current_counters.slots_in_use += state.in_use();
        this->current_counters.waiting += state.waiting();
        this->count_home_scope(service, state);
    }
    return this->current_counters;
}

bool entry_reducer::accepts_requests(service_id const& service,
                                     upstream_id const& upstream) const
{
    auto const state = this->service_states.find(service);
    return state != this->service_states.end() &&
           state->second.may_receive(upstream, this->now);
}

service_state& entry_reducer::state_of(service_id const& service)
{
    auto const found = this->service_states.find(service);
    if (found != this->service_states.end())
    {
        return found->second;
    }
    config::service const* configured = this->find_service(service);
    service_state& created =
        this->service_states
            .try_emplace(service,
                         configured == nullptr ? config::work_length::brief
                                               : configured->length,
                         this->placement_seed + this->service_states.size(),
                         this->host_settings.placement)
            .first->second;
    created.set_peers(this->entry_hosts.hosts, this->has_peer_contact,
                      this->now);
    return created;
}

void entry_reducer::on(request_arrived const& event)
{
    this->last_activity = this->now;
    if (this->routing == nullptr)
    {
        this->refuse_arrival(event, refusal_reason::not_ready);
        return;
    }
    if (event.relayed_revision > this->revision)
    {
        this->refuse_relayed(event);
        return;
    }
    live_request request;
    request.number = event.request;
    request.arrived_at = this->now;
    request.routed_by = this->revision;
    bool is_routed = false;
    if (this->routing->has_routes())
    {
        config::request_route const* const route =
            this->routing->find_route(event.host, event.path);
        if (route != nullptr && !this->admit_customer(request, *route, event))
        {
            return;
        }
        is_routed =
            route != nullptr && this->fill_from_route(request, *route, event);
    }
    else
    {
        is_routed = this->fill_from_service(request, event);
    }
    if (!is_routed && event.is_relayed)
    {
        // The other host has found the route.
        this->return_token(request);
        this->refuse_relayed(event);
        return;
    }
    if (!is_routed)
    {
        this->return_token(request);
        this->answer_with_problem(event.request, {}, status_not_found,
                                  refusal_reason::unknown_service,
                                  duration::zero());
        return;
    }
    if (request.guarded && event.idempotency_key.empty())
    {
        this->answer_with_problem(
            event.request, request.service, status_bad_request,
            refusal_reason::key_missing, duration::zero());
        return;
    }
    if (!this->restrict_regions(request, event.relayed_regions))
    {
        this->return_token(request);
        this->refuse_arrival(event, refusal_reason::no_common_region);
        return;
    }
    instant const requested_deadline = event.time_left.has_value()
                                           ? this->now + *event.time_left
                                           : request.deadline;
    // A service's deadline applies to callers that send none; a route's timeout
    // is an upper bound for every caller.
    request.deadline = this->routing->has_routes()
                           ? std::min(requested_deadline, request.deadline)
                           : requested_deadline;
    if (request.deadline <= this->now)
    {
        this->return_token(request);
        this->refuse_arrival(event, refusal_reason::deadline);
        return;
    }
    if (this->ends_after_stop(request.deadline))
    {
        this->return_token(request);
        this->refuse_arrival(event, refusal_reason::stopping);
        return;
    }
    request.is_relayed = event.is_relayed;
    this->current_counters.received_from_relays += event.is_relayed ? 1U : 0U;
    request.digest = event.digest;
    request.body_kept = event.body_kept;
    request.earlier_may_have_run = event.repeated;
    request.caller = event.caller;
    request.caller_address = event.caller_address;
    request.flow =
        static_cast<std::uint32_t>(std::hash<caller_id>{}(event.caller));
    if (request.guarded)
    {
        request.claim = {request.service, event.caller, event.idempotency_key};
    }
    this->record_offered(request);
    this->admit(std::move(request));
    live_request* admitted = this->find(event.request);
    if (admitted != nullptr &&
        admitted->life_cycle.current() == request_state::claiming)
    {
        this->pending_effects.push_back(request_claim{
            admitted->number, admitted->claim, event.body_digest});
    }
}

void entry_reducer::admit(live_request arrived)
{
    live_request& request =
        this->live_requests.emplace(arrived.number, std::move(arrived))
            .first->second;
    this->update_reach(request);
    this->set_timer(request, request.deadline);
    if (!request.guarded)
    {
        this->place(request);
        return;
    }
    // The host that carries a request makes its claim.
    if (this->relay(request))
    {
        return;
    }
    // Requests that would be refused anyway are refused before their claim
    // costs a quorum round trip.
    if (!this->state_of(request.service)
             .accepts_work(request.reachable, this->now))
    {
        this->refuse_unplaced(request);
        return;
    }
    if (!this->can_meet_deadline(request))
    {
        this->refuse(request, refusal_reason::no_room);
        return;
    }
    if (!this->control_is_reachable)
    {
        this->refuse(request, refusal_reason::claim_refused);
        return;
    }
    request.life_cycle.claim();
}

bool entry_reducer::can_meet_deadline(live_request const& request)
{
    service_state& state = this->state_of(request.service);
    duration const wait =
        state.expected_wait(request.flow, request.reachable, this->now);
    return wait == duration::zero() ||
           this->now + wait + state.usual_answer() <= request.deadline;
}

void entry_reducer::dispatch_waiting(service_state& state)
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
        late->life_cycle.pause();
        this->refuse(*late, refusal_reason::deadline);
    }
}

void entry_reducer::dispatch_services()
{
    // Runs at the end of each event rather than where a slot is released: a
    // refusal during dispatch may release another slot while the queue of its
    // service is being traversed.
    while (!this->services_to_dispatch.empty())
    {
        service_id const service =
            this->services_to_dispatch
                .extract(this->services_to_dispatch.begin())
                .value();
        this->dispatch_waiting(this->state_of(service));
    }
}

void entry_reducer::on(load_reported const& event)
{
    for (auto& [service, state] : this->service_states)
    {
        if (!state.has_record(event.upstream))
        {
            continue;
        }
        state.record_load_report(event.upstream, event.slots_in_use, this->now);
        if (event.leaving)
        {
            state.record_leaving(
                state.current_incarnation(event.upstream),
                this->now + this->host_settings.leaving_retention, this->now);
        }
    }
}

void entry_reducer::on(control_reachable const& /*event*/)
{
    this->control_is_reachable = true;
}

void entry_reducer::on(control_unreachable const& /*event*/)
{
    this->control_is_reachable = false;
}

void entry_reducer::on(drain_requested const& /*event*/)
{
    if (this->drain.begin())
    {
        this->drain_started_at = this->now;
        this->pending_effects.push_back(close_connections_after_answer{});
    }
}

/// True if the process may be ended before a request with this deadline is
/// answered. It must not be run then: it would be cut in the middle.
bool entry_reducer::ends_after_stop(instant deadline) const
{
    bool const is_bounded = this->host_settings.stop_time > duration::zero();
    return this->draining() && is_bounded &&
           deadline > this->drain_started_at + this->host_settings.stop_time -
                          stop_margin;
}

void entry_reducer::check_drain_progress()
{
    if (!this->draining())
    {
        return;
    }
    // Callers may hold a steering answer that names this host until it expires,
    // so requests are accepted until then plus a margin.
    duration const accept_time =
        this->host_settings.steering_ttl + this->host_settings.drain_quiet;
    bool const is_bounded = this->host_settings.stop_time > duration::zero();
    duration const bounded_accept_time =
        this->host_settings.stop_time / per_mille * accepting_share_of_stop;
    if (this->now >= this->drain_started_at +
                         (is_bounded
                              ? std::min(accept_time, bounded_accept_time)
                              : accept_time) &&
        this->drain.expire_answers() && is_bounded)
    {
        // Requests that arrive now could not be completed in time; a refused
        // connection makes their callers try another host immediately.
        this->pending_effects.push_back(stop_accepting_connections{});
    }
    bool const is_quiet =
        is_bounded ||
        this->now >= this->last_activity + this->host_settings.drain_quiet;
    if (is_quiet && this->live_requests.empty() && this->drain.end())
    {
        this->pending_effects.push_back(drained{});
    }
}

} // namespace bilberrylead::entry
