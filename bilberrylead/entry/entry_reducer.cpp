#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>
#include <variant>

namespace bilberrylead::entry
{

namespace
{

constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
/// What a share is counted in.
constexpr std::int64_t full_share = 1000;
constexpr double full_share_real = 1000;
/// Share of the time to stop, in thousandths, in which callers are still
/// taken: most of them have a new steering answer by then, and the rest is
/// longer than a request lasts.
constexpr std::int64_t stop_share_for_taking = 450;
/// Share of a bound over all entry hosts that they use together: their
/// number may be old by one host that came.
constexpr double shared_bound_use = 0.8;
/// Where a service names no bound for cold upstreams.
constexpr double unlimited_rate = 1e9;
/// Requests a second to a cold upstream that each host may send at least:
/// without any, nobody would see that it is warm again.
constexpr double least_cold_rate = 0.1;

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
            this->chosen.seed + this->states.size(), this->chosen.placement)
        .first->second;
}

void entry_reducer::on(configuration_received const& happened)
{
    // A late message or a neighbour that lags must not bring back what an
    // operator has already changed.
    if (happened.revision <= this->revision)
    {
        return;
    }
    this->revision = happened.revision;
    for (zone_id const& zone : this->closed)
    {
        if (!happened.closed_zones.contains(zone))
        {
            this->note_opened(zone);
        }
    }
    this->closed = happened.closed_zones;
    if (happened.content != nullptr)
    {
        this->content = happened.content;
    }
    this->rebuild();
}

/// Upstreams whose zone was closed for a while have lost their caches, or
/// were started anew meanwhile; nobody says so.
void entry_reducer::note_opened(zone_id const& zone)
{
    if (this->content == nullptr)
    {
        return;
    }
    for (config::service const& service : this->content->services)
    {
        this->state_of(service.id)
            .note_cold(zone, this->now + service.cold_time);
    }
}

void entry_reducer::on(upstreams_listed const& happened)
{
    this->listed = happened.upstreams;
    this->rebuild();
}

void entry_reducer::on(entry_hosts_counted const& happened)
{
    this->entry_hosts = std::max<std::uint64_t>(happened.hosts, 1);
    this->set_shares();
}

void entry_reducer::on(regions_planned const& happened)
{
    std::map<service_id, std::vector<double>> targets;
    for (planned_share const& each : happened.shares)
    {
        std::uint32_t const number = this->number_of(each.region);
        std::vector<double>& target = targets[each.service];
        target.resize(std::max<std::size_t>(target.size(), number + 1));
        target[number] = each.share;
    }
    std::size_t const regions = this->region_numbers.size();
    for (auto& [service, target] : targets)
    {
        // Shares are rounded on their way.
        double sum = 0;
        for (double const share : target)
        {
            sum += share;
        }
        target.resize(regions);
        target[this->number_of(this->own_region())] += 1 - sum;
        auto const state = this->states.find(service);
        if (state != this->states.end())
        {
            state->second.regions().aim(target, this->now);
        }
    }
}

std::map<service_id, double> entry_reducer::demands() const
{
    std::map<service_id, double> slots;
    for (auto const& [service, state] : this->states)
    {
        slots[service] = state.demand(this->now);
    }
    return slots;
}

void entry_reducer::rebuild()
{
    if (this->content == nullptr)
    {
        return;
    }
    std::unique_ptr<routing_table const> const old = std::move(this->routing);
    this->routing = std::make_unique<routing_table const>(
        this->content, this->chosen, this->listed);
    for (config::service const& service : this->content->services)
    {
        this->state_of(service.id);
    }
    this->place_again();
    this->set_shares();
}

void entry_reducer::set_shares()
{
    if (this->content == nullptr || !this->chosen.upstreams_are_listed)
    {
        return;
    }
    double const hosts = static_cast<double>(this->entry_hosts);
    double const saved = shared_bound_use * this->chosen.retries.slack / hosts;

    // Cold upstreams get work from their own region only.
    double const regions = static_cast<double>(
        std::max<std::size_t>(this->region_numbers.size(), 1));
    double const senders = std::ceil(hosts / regions);
    for (config::service const& service : this->content->services)
    {
        double const bound =
            service.cold_rate / full_share_real * this->chosen.cold.factor +
            this->chosen.cold.slack;
        // Each sender may have a saved token to spend in the same second.
        double const rate =
            service.cold_rate == 0
                ? unlimited_rate
                : std::max(least_cold_rate,
                           shared_bound_use * bound / senders - 1);
        this->state_of(service.id).set_shares(rate, saved);
    }
}

std::uint32_t entry_reducer::number_of(region_id const& region)
{
    return this->region_numbers
        .try_emplace(region,
                     static_cast<std::uint32_t>(this->region_numbers.size()))
        .first->second;
}

body_rules entry_reducer::rules_for_body(service_id const& service,
                                         std::string const& host,
                                         std::string_view path) const
{
    if (this->routing == nullptr)
    {
        return {};
    }
    if (this->routing->has_routes())
    {
        bool const known = this->routing->find_route(host, path) != nullptr;
        return {known, this->content->limits.body_bytes, false};
    }
    config::service const* const named = this->find_service(service);
    if (named == nullptr)
    {
        return {};
    }
    return {true, named->largest_request, named->guarded};
}

config::caller_limits const* entry_reducer::limits() const
{
    bool const configured =
        this->routing != nullptr && this->routing->has_routes();
    return configured ? &this->content->limits : nullptr;
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
            configured_upstream placed;
            placed.upstream = each;
            placed.distance =
                this->routing->distance(this->chosen.zone, each->zone);
            placed.region =
                this->number_of(this->routing->region_of(each->zone));
            placed.closed = this->closed.contains(each->zone);
            discovery::listed_upstream const* const entry =
                this->routing->find_listed(each->id);
            placed.cold_until =
                entry == nullptr ? instant{} : entry->cold_until;
            upstreams.push_back(placed);
        }
        std::sort(
            upstreams.begin(), upstreams.end(),
            [](configured_upstream const& one, configured_upstream const& other)
            {
                return std::tie(one.region, one.upstream->id) <
                       std::tie(other.region, other.upstream->id);
            });
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
    live_request request;
    request.number = happened.request;
    request.arrived = this->now;
    bool filled = false;
    if (this->routing->has_routes())
    {
        config::request_route const* const route =
            this->routing->find_route(happened.host, happened.path);
        filled = route != nullptr && this->fill_from_route(request, *route);
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
    request.object = request.object == 0 ? 0 : happened.object;
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

bool entry_reducer::fill_from_route(live_request& request,
                                    config::request_route const& route)
{
    // Each part gets its weight's share of the requests, whatever room it
    // has: what does not fit there is refused and not moved.
    std::uint32_t sum = 0;
    for (config::route_target const& target : route.targets)
    {
        sum += target.weight;
    }
    if (sum == 0)
    {
        return false;
    }
    std::uint32_t drawn = sum > 1 ? this->draws.below(sum) : 0;
    config::service const* service = nullptr;
    for (config::route_target const& target : route.targets)
    {
        if (drawn < target.weight)
        {
            service = this->find_service(target.service);
            break;
        }
        drawn -= target.weight;
    }
    if (service == nullptr)
    {
        return false;
    }
    request.service = service->id;
    this->state_of(service->id).note_arrival(this->now);
    request.repeatable = route.idempotent;
    request.most_attempts = route.most_attempts;
    request.regions = route.regions;
    request.aim = this->now + route.aim;
    request.deadline = this->now + route.timeout;
    request.object = route.object_affinity ? 1 : 0;
    // Silence within the route's time is no failure.
    request.progress_timeout = route.timeout;
    return true;
}

bool entry_reducer::fill_from_service(live_request& request,
                                      request_arrived const& happened)
{
    config::service const* const service = this->find_service(happened.service);
    if (service == nullptr)
    {
        return false;
    }
    request.service = service->id;
    request.guarded = service->guarded;
    request.repeatable = service->idempotent && !service->guarded;
    request.progress_timeout = service->progress_timeout;
    request.deadline = this->now + service->deadline;
    return true;
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
    bool const has_selectors = this->routing->has_selectors(request.service);
    if (!has_selectors && request.regions.empty())
    {
        return;
    }
    caller_place const caller =
        has_selectors ? this->routing->place_of(request.caller_address)
                      : caller_place{};
    auto const state = this->states.find(request.service);
    if (state == this->states.end())
    {
        return;
    }
    for (configured_upstream const& each : state->second.upstreams())
    {
        bool const selected =
            !has_selectors || this->routing->reaches(caller, *each.upstream);
        bool const at_home =
            request.regions.empty() ||
            std::find(request.regions.begin(), request.regions.end(),
                      this->routing->region_of(each.upstream->zone)) !=
                request.regions.end();
        request.reached.push_back(selected && at_home);
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
    if (this->chosen.waiting == config::waiting_place::upstream)
    {
        this->place_at_upstream(request);
        return;
    }
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
    this->start_at(request, *upstream);
}

void entry_reducer::place_at_upstream(live_request& request)
{
    service_state& state = this->state_of(request.service);
    std::uint32_t const home = this->number_of(this->own_region());
    if (!request.region.has_value())
    {
        bool const planned = !state.regions().current().empty();
        request.region =
            planned ? static_cast<std::uint32_t>(
                          state.regions().next(request.object, this->now))
                    : home;
    }
    policy::placement_verdict verdict =
        this->find_place(request, *request.region);
    if (!std::holds_alternative<policy::placed>(verdict) &&
        request.region != home)
    {
        // The plan is some seconds old. Home may have room by now; going
        // the other way is for the plan alone, at its bounded pace.
        verdict = this->find_place(request, home);
    }
    if (policy::placed const* const found =
            std::get_if<policy::placed>(&verdict))
    {
        request.expected_wait = found->wait;
        request.round_trip = state.round_trip_to(found->index);
        request.run_factor = found->run_factor;
        this->start_at(request, state.upstream_at(found->index));
        return;
    }
    request.life.pause();
    if (policy::no_room_to_place const* const full =
            std::get_if<policy::no_room_to_place>(&verdict))
    {
        request.expected_wait = full->wait;
        this->refuse(request, refusal_reason::no_room, full->retry_after);
        return;
    }
    this->refuse(request, refusal_reason::no_upstream);
}

policy::placement_verdict entry_reducer::find_place(live_request& request,
                                                    std::uint32_t region)
{
    policy::placement_question question;
    question.object = request.object;
    question.to_aim = request.aim - this->now;
    question.to_deadline = request.deadline - this->now;
    question.region = region;
    return this->state_of(request.service)
        .place(question, request.reached, request.tried, this->now);
}

region_id entry_reducer::own_region() const
{
    if (!this->chosen.region.empty() || this->routing == nullptr)
    {
        return this->chosen.region;
    }
    return this->routing->region_of(this->chosen.zone);
}

bool entry_reducer::is_last_try(live_request const& request) const
{
    std::size_t const most = request.most_attempts > 0
                                 ? request.most_attempts
                                 : this->chosen.retry.most_attempts;
    return !request.repeatable || !request.body_kept ||
           request.tried.size() >= most;
}

void entry_reducer::start_at(live_request& request,
                             config::upstream const& chosen_upstream)
{
    config::upstream const* const upstream = &chosen_upstream;
    service_state& state = this->state_of(request.service);
    state.take_slot(upstream->id, this->now);
    request.tried.push_back(upstream->id);
    request.life.send();
    request.sent = this->now;
    bool const last_try = this->is_last_try(request);
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
