#include "bilberrylead/policy/upstream_placement.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/retry_time.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

namespace
{

/// Weight of an upstream for an object in rendezvous hashing; the upstream with
/// the largest weight is the object's first choice.
std::uint64_t rendezvous_weight(std::uint64_t object, std::uint64_t upstream)
{
    return generator(object ^ upstream).next();
}

} // namespace

upstream_placement::upstream_placement(placement_settings const& settings)
    : settings(settings)
{
}

duration upstream_placement::expected_wait(placement_candidate const& candidate)
{
    double const held =
        static_cast<double>(candidate.in_flight) + candidate.held_by_others;
    double const excess = held + 1.0 - candidate.slots;
    return excess <= 0
               ? duration::zero()
               : scaled(candidate.service_time, excess / candidate.slots);
}

void upstream_placement::ranking::add(std::size_t index, std::uint64_t weight)
{
    ++this->upstreams;
    if (!this->first.has_value() || weight > this->first_weight)
    {
        this->second = this->first;
        this->second_weight = this->first_weight;
        this->first = index;
        this->first_weight = weight;
    }
    else if (!this->second.has_value() || weight > this->second_weight)
    {
        this->second = index;
        this->second_weight = weight;
    }
}

void upstream_placement::preferred_upstreams::add_to_zone(std::uint32_t zone,
                                                          std::size_t index,
                                                          std::uint64_t weight)
{
    std::size_t position = 0;
    while (position < this->zone_count && this->zones[position].zone != zone)
    {
        ++position;
    }
    if (position == max_zones)
    {
        return;
    }
    if (position == this->zone_count)
    {
        ++this->zone_count;
        this->zones[position].zone = zone;
    }
    this->zones[position].upstreams.add(index, weight);
    if (zone == placement_candidate::own_zone)
    {
        this->own_zone = position;
    }
}

/// True if the upstream is the home in its zone and callers there keep the
/// object in its cache: they use it if the zone is large enough to have its own
/// homes, or if it is the home in the region.
bool upstream_placement::preferred_upstreams::is_home_of_zone(
    std::size_t index, std::uint32_t required) const
{
    if (this->region.first == index)
    {
        return true;
    }
    for (std::size_t position = 0; position < this->zone_count; ++position)
    {
        ranking const& found = this->zones[position].upstreams;
        if (found.first == index)
        {
            return found.upstreams >= required || position == this->own_zone;
        }
    }
    return false;
}

upstream_placement::preferred_upstreams
upstream_placement::find_preferred_upstreams(
    std::span<placement_candidate const> candidates,
    placement_request const& request, std::uint32_t region)
{
    bool const by_zone = request.homes == config::object_homes::zone;
    preferred_upstreams preferred;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        placement_candidate const& candidate = candidates[index];
        if (!candidate.allowed || candidate.region != region)
        {
            continue;
        }
        std::uint64_t const weight =
            rendezvous_weight(request.object, candidate.hash);
        preferred.region.add(index, weight);
        if (by_zone)
        {
            preferred.add_to_zone(candidate.zone, index, weight);
        }
    }
    return preferred;
}

double upstream_placement::run_factor(placement_candidate const& candidate,
                                      std::size_t index,
                                      preferred_upstreams const& preferred,
                                      placement_request const& request) const
{
    if (request.object == 0 || candidate.likely_cached)
    {
        return 1;
    }
    bool const by_zone = preferred.own_zone.has_value();
    ranking const& own = by_zone
                             ? preferred.zones[*preferred.own_zone].upstreams
                             : preferred.region;
    // Other entry hosts send the object to its home as well, so it is likely
    // cached there.
    if (own.first == index ||
        (by_zone &&
         preferred.is_home_of_zone(index, request.required_zone_upstreams)))
    {
        return 1;
    }
    return own.second == index ? this->settings.second_choice_run_factor
                               : this->settings.uncached_run_factor;
}

placement_verdict
upstream_placement::place(std::span<placement_candidate const> candidates,
                          placement_request const& request,
                          generator& random) const
{
    bool const has_region =
        std::any_of(candidates.begin(), candidates.end(),
                    [&request](placement_candidate const& candidate)
                    {
                        // A region whose upstreams rest keeps its requests:
                        // other regions take them over only as far as the
                        // region plan moves them.
                        return (candidate.allowed || candidate.held_back) &&
                               candidate.region == request.region;
                    });
    std::optional<placed> best;
    preferred_upstreams preferred;
    std::optional<std::uint32_t> preferred_region;
    std::uint32_t ties = 0;
    bool best_crosses = false;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        placement_candidate const& candidate = candidates[index];
        if (!candidate.allowed ||
            (has_region && candidate.region != request.region))
        {
            continue;
        }
        if (preferred_region != candidate.region)
        {
            preferred_region = candidate.region;
            preferred =
                find_preferred_upstreams(candidates, request, candidate.region);
        }
        duration const wait = expected_wait(candidate);
        double const factor =
            this->run_factor(candidate, index, preferred, request);
        duration const run = scaled(candidate.service_time, factor);
        duration completion =
            2 * candidate.one_way_latency + wait + run + candidate.penalty;
        bool const crosses = preferred.own_zone.has_value() &&
                             candidate.zone != placement_candidate::own_zone;
        if (crosses)
        {
            completion += this->settings.zone_crossing_cost;
        }
        if (candidate.tried)
        {
            // Prefers any other upstream, but uses this one rather than
            // refusing the request.
            completion += request.time_to_deadline;
        }
        if (best.has_value() && completion > best->completion)
        {
            continue;
        }
        bool const better = !best.has_value() || completion < best->completion;
        ties = better ? 1 : ties + 1;
        if (better || random.below(ties) == 0)
        {
            best = placed{index, completion, wait, factor};
            best_crosses = crosses;
        }
    }
    if (!best.has_value())
    {
        return no_upstream_allowed{};
    }
    placement_candidate const& best_candidate = candidates[best->index];
    if (best_candidate.tried)
    {
        best->completion -= request.time_to_deadline;
    }
    if (best_crosses)
    {
        // The cost of a crossing is no time.
        best->completion -= this->settings.zone_crossing_cost;
    }
    duration const time_besides_waiting = best->completion - best->wait;
    duration const whole_tolerated_wait =
        std::max(request.time_to_target - time_besides_waiting,
                 scaled(best_candidate.service_time,
                        this->settings.min_tolerated_wait_share));
    duration const tolerated_wait =
        request.wait_tolerance >= 1
            ? whole_tolerated_wait
            : scaled(whole_tolerated_wait, request.wait_tolerance);
    bool const too_late =
        best->completion >
        scaled(request.time_to_deadline, this->settings.usable_deadline_share);
    if (best->wait <= tolerated_wait && !too_late)
    {
        return *best;
    }
    // A restricted request has to wait for a slot that no more urgent request
    // claims; on average that takes up to a run longer.
    duration const claimed_by_others =
        scaled(best_candidate.service_time, 1 - request.wait_tolerance);
    return no_free_capacity{
        best->wait, retry_time(best->wait - tolerated_wait + claimed_by_others,
                               this->settings, random)};
}

} // namespace bilberrylead::policy
