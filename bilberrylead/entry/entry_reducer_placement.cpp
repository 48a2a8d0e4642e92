#include "bilberrylead/entry/entry_reducer.hpp"

#include "bilberrylead/policy/route_scoped_object.hpp"

#include <algorithm>
#include <cassert>
#include <functional>
#include <string>
#include <variant>

/// Where a request goes, and by which route.
namespace bilberrylead::entry
{

namespace
{

/// What a share is counted in.
constexpr std::int64_t full_share = 1000;

/// The same on every entry host and in every configuration that has the
/// route.
std::uint64_t hash_of(config::request_route const& route)
{
    std::hash<std::string> const hash;
    return policy::generator(hash(route.host)).next() ^ hash(route.path_prefix);
}

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

bool entry_reducer::fill_from_route(live_request& request,
                                    config::request_route const& route,
                                    request_arrived const& happened)
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
    std::uint32_t drawn = 0;
    if (sum > 1)
    {
        drawn = this->draws.below(sum);
        request.split = split_draw{drawn, sum, this->drawn_before++};
    }
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
    request.object =
        route.object_affinity
            ? policy::route_scoped_object(hash_of(route), happened.object)
            : 0;
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
    if (std::optional<duration> const retry_after =
            this->crash_refusal(request))
    {
        this->crashes.record_repeat(request.digest, this->now);
        this->refuse(request, refusal_reason::crashes_upstreams, *retry_after);
        return;
    }
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
        this->refuse_unplaced(request);
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
            planned ? static_cast<std::uint32_t>(state.regions().next_region(
                          request.object, this->now, state.random))
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
    if (policy::no_free_capacity const* const full =
            std::get_if<policy::no_free_capacity>(&verdict))
    {
        request.expected_wait = full->wait;
        this->refuse(request, refusal_reason::no_room, full->retry_after);
        return;
    }
    this->refuse_unplaced(request);
}

policy::placement_verdict entry_reducer::find_place(live_request& request,
                                                    std::uint32_t region)
{
    policy::placement_request question;
    question.object = request.object;
    question.time_to_target = request.aim - this->now;
    question.time_to_deadline = request.deadline - this->now;
    question.region = region;
    return this->state_of(request.service)
        .place(question, request.reached, request.tried, this->now);
}

bool entry_reducer::is_last_try(live_request const& request) const
{
    std::size_t const most = request.most_attempts > 0
                                 ? request.most_attempts
                                 : this->chosen.retry.max_attempts;
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
    request.sent_to = upstream->address;
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

} // namespace bilberrylead::entry
