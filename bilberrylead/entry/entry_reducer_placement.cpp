#include "bilberrylead/entry/entry_reducer.hpp"

#include "bilberrylead/policy/route_scoped_object.hpp"

#include <algorithm>
#include <cassert>
#include <functional>
#include <string>
#include <variant>

/// Selection of the route and the upstream of a request.
namespace bilberrylead::entry
{

namespace
{

/// Shares are given in thousandths.
constexpr std::int64_t per_mille = 1000;

/// Identical on every entry host and in every configuration that contains the
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
                                    request_arrived const& event)
{
    // Each target receives the share of requests that its weight gives,
    // regardless of its free capacity; excess requests are refused rather than
    // moved to another target.
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
        drawn = this->split_random.below(sum);
        request.split = split_draw{drawn, sum, this->split_draw_count++,
                                   route.host + route.path_prefix};
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
    this->state_of(service->id).record_arrival(this->now);
    request.repeatable = route.idempotent;
    request.max_attempts = route.most_attempts;
    request.latency_target = this->now + route.aim;
    request.deadline = this->now + route.timeout;
    request.rank = request.rank > 0 ? request.rank : route.priority;
    request.object =
        route.object_affinity
            ? policy::route_scoped_object(hash_of(route), event.object)
            : 0;
    // No progress timeout applies within the timeout of the route.
    request.progress_timeout = route.timeout;
    return true;
}

bool entry_reducer::fill_from_service(live_request& request,
                                      request_arrived const& event)
{
    config::service const* const service = this->find_service(event.service);
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

/// Places requests that were removed from their queue.
void entry_reducer::place_again(std::vector<std::uint64_t> const& tickets)
{
    for (std::uint64_t const ticket : tickets)
    {
        live_request& request =
            *this->find(static_cast<request_number>(ticket));
        request.life_cycle.pause();
        this->place(request);
    }
}

policy::waiting_request
entry_reducer::to_waiting_request(live_request const& request) const
{
    policy::waiting_request waiting;
    waiting.ticket = static_cast<std::uint64_t>(request.number);
    waiting.flow = request.flow;
    waiting.arrived = request.arrived_at;
    waiting.deadline = request.deadline;
    return waiting;
}

void entry_reducer::place(live_request& request)
{
    if (this->relay(request))
    {
        return;
    }
    if (std::optional<duration> const retry_after =
            this->crash_refusal(request))
    {
        this->crashes.record_repeat(request.digest, this->now);
        this->refuse(request, refusal_reason::crashes_upstreams, *retry_after);
        return;
    }
    request.life_cycle.wait();
    this->set_timer(request, request.deadline);
    if (this->host_settings.waiting == config::waiting_place::upstream)
    {
        this->place_at_upstream(request);
        return;
    }
    policy::admission_verdict const verdict =
        this->state_of(request.service)
            .offer(this->to_waiting_request(request), request.reachable,
                   this->now);
    if (policy::refuse const* refused = std::get_if<policy::refuse>(&verdict))
    {
        // The request is in no queue, so it must not be removed from one.
        request.life_cycle.pause();
        if (refused->reason == policy::refusal_reason::no_upstream)
        {
            this->refuse_unplaced(request);
            return;
        }
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
    assert(request.life_cycle.current() == request_state::waiting);
    service_state& state = this->state_of(request.service);
    config::upstream const* upstream =
        state.choose(request.reachable, request.tried, this->now);
    if (upstream == nullptr)
    {
        request.life_cycle.pause();
        this->refuse_unplaced(request);
        return;
    }
    this->start_at(request, *upstream);
}

void entry_reducer::place_at_upstream(live_request& request)
{
    service_state& state = this->state_of(request.service);
    if (!request.region.has_value())
    {
        bool const planned = !state.region_shares().current().empty();
        request.region =
            planned
                ? static_cast<std::uint32_t>(state.region_shares().next_region(
                      request.object, this->now, state.random))
                : this->region_number_of(this->own_region());
    }
    policy::placement_verdict verdict = policy::no_upstream_allowed{};
    for (std::uint32_t const region : this->regions_to_try(request))
    {
        verdict = this->find_placement(request, region);
        if (std::holds_alternative<policy::placed>(verdict))
        {
            break;
        }
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
    request.life_cycle.pause();
    if (policy::no_free_capacity const* const full =
            std::get_if<policy::no_free_capacity>(&verdict))
    {
        request.expected_wait = full->wait;
        this->refuse(request, refusal_reason::no_room, full->retry_after);
        return;
    }
    this->refuse_unplaced(request);
}

bool entry_reducer::is_allowed_region(live_request const& request,
                                      std::uint32_t region) const
{
    return request.regions.empty() ||
           std::any_of(request.regions.begin(), request.regions.end(),
                       [this, region](region_id const& allowed)
                       {
                           auto const found =
                               this->region_numbers.find(allowed);
                           return found != this->region_numbers.end() &&
                                  found->second == region;
                       });
}

/// The planned region, then the local one: the plan may be some seconds old
/// and the local region may have free capacity by now. Requests move to other
/// regions only by the plan, at its bounded pace, or if they may run in neither
/// of the two.
std::vector<std::uint32_t>
entry_reducer::regions_to_try(live_request const& request)
{
    std::vector<std::uint32_t> regions;
    std::uint32_t const own_region = this->region_number_of(this->own_region());
    if (this->is_allowed_region(request, *request.region))
    {
        regions.push_back(*request.region);
    }
    if (request.region != own_region &&
        this->is_allowed_region(request, own_region))
    {
        regions.push_back(own_region);
    }
    if (!regions.empty())
    {
        return regions;
    }
    for (region_id const& allowed : request.regions)
    {
        regions.push_back(this->region_number_of(allowed));
    }
    // Requests for one object meet in one region.
    std::rotate(regions.begin(),
                regions.begin() + static_cast<std::ptrdiff_t>(request.object %
                                                              regions.size()),
                regions.end());
    return regions;
}

policy::placement_verdict entry_reducer::find_placement(live_request& request,
                                                        std::uint32_t region)
{
    policy::placement_request question;
    question.object = request.object;
    question.time_to_target = request.latency_target - this->now;
    question.time_to_deadline = request.deadline - this->now;
    question.region = region;
    question.wait_tolerance = request.wait_tolerance;
    return this->state_of(request.service)
        .place(question, request.reachable, request.tried, this->now);
}

bool entry_reducer::is_last_attempt(live_request const& request) const
{
    std::size_t const max_attempts =
        request.max_attempts > 0 ? request.max_attempts
                                 : this->host_settings.retry.max_attempts;
    return !request.repeatable || !request.body_kept ||
           request.tried.size() >= max_attempts;
}

void entry_reducer::start_at(live_request& request,
                             config::upstream const& target_upstream)
{
    config::upstream const* const upstream = &target_upstream;
    service_state& state = this->state_of(request.service);
    std::optional<limit_use> const limited =
        state.acquire_slot(upstream->id, this->now);
    if (limited.has_value())
    {
        ++this->current_counters.limited_requests;
        this->pending_effects.push_back(
            limited_request_sent{request.number, upstream->id, *limited});
    }
    request.tried.push_back(upstream->id);
    request.incarnation = state.current_incarnation(upstream->id).number;
    request.placed_by = this->listing_position;
    request.sent_to = upstream->address;
    request.crosses_zones = upstream->zone != this->host_settings.zone;
    request.life_cycle.send();
    request.sent_at = this->now;
    bool const last_attempt = this->is_last_attempt(request);
    duration const share = (request.deadline - this->now) / per_mille *
                           this->host_settings.attempt_share;
    this->set_timer(request,
                    last_attempt ? request.deadline : this->now + share);
    this->pending_effects.push_back(start_upstream{request.number,
                                                   request.service,
                                                   upstream->id,
                                                   upstream->address,
                                                   request.customer,
                                                   request.deadline,
                                                   request.progress_timeout,
                                                   !request.repeatable,
                                                   request.tried.size() > 1,
                                                   false,
                                                   {},
                                                   0,
                                                   request.incarnation});
}

} // namespace bilberrylead::entry
