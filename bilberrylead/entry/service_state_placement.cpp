#include "bilberrylead/entry/service_state.hpp"

#include <algorithm>
#include <chrono>

/// Placement of requests that wait at upstreams.
namespace bilberrylead::entry
{

namespace
{

/// Penalty of an upstream that failed recently, in run times: it is used after
/// every healthy one, but before a request is refused.
constexpr double suspect_penalty_runs = 3;
/// Penalty of a cold upstream, in run times: it is slower by about that much,
/// and each of its requests delays its callers, so warm upstreams are
/// preferred.
constexpr double cold_penalty_runs = 1;
/// Reported run time of an upstream at its usual speed.
constexpr double usual_percent = 100;

} // namespace

void service_state::set_host_shares(policy::cold_share const& cold_share,
                                    double saved_retries)
{
    this->cold = cold_share;
    this->budget.set_max_saved(saved_retries);
}

double service_state::demand(instant now) const
{
    return this->arrivals.per_second(now) *
           std::chrono::duration<double>(this->mean_load.run_time()).count();
}

policy::mean_load& service_state::mean_load_in(std::uint32_t region)
{
    return this->mean_load_by_region.try_emplace(region, this->mean_load)
        .first->second;
}

bool service_state::may_send_to_cold(std::uint64_t upstream,
                                     std::uint32_t region) const
{
    if (this->cold.region.has_value() && this->cold.region != region)
    {
        return false;
    }
    // Each cold upstream is served by a different subset of the hosts.
    return this->cold.host_fraction >= 1 ||
           policy::generator(this->cold.host_hash ^ upstream).unit() <
               this->cold.host_fraction;
}

void service_state::record_cold_zone(zone_id const& zone, instant until)
{
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        if (this->configured_upstreams[index].upstream->zone == zone)
        {
            upstream_record& record = *this->upstream_records[index];
            record.cold_until = std::max(record.cold_until, until);
        }
    }
}

void service_state::record_load(upstream_incarnation const& from,
                                upstream_load const& load, instant now)
{
    upstream_record& record = this->record_of(from);
    std::uint32_t const slots_held = load.running + load.waiting;
    record.estimate.record_report(slots_held, record.in_flight, now);
    double const others =
        slots_held > record.in_flight ? slots_held - record.in_flight : 0;
    this->mean_load.record_held_by_others(others);
    this->mean_load_in(record.region).record_held_by_others(others);
    if (load.run_time_percent.has_value())
    {
        record.momentary.record(*load.run_time_percent / usual_percent,
                                this->report_validity, now);
    }
}

void service_state::record_run(upstream_incarnation const& from, duration time,
                               std::uint64_t object, instant now)
{
    // The mean must follow upstreams of usual speed; a slow upstream must not
    // raise the usual run time.
    upstream_record& record = this->record_of(from);
    policy::mean_load& siblings = this->mean_load_in(record.region);
    // A momentary slowness must not enter the lasting one.
    duration const at_usual_speed =
        scaled(time, 1.0 / record.momentary.factor(this->report_validity, now));
    record.estimate.record_run(at_usual_speed, siblings.run_time(), now);
    if (object != 0)
    {
        record.objects.record(object);
    }
    duration const normal = scaled(
        at_usual_speed, 1.0 / std::max(1.0, record.estimate.slowdown(now)));
    siblings.record_run(normal);
    this->mean_load.record_run(normal);
}

void service_state::fill_candidates(std::uint64_t object,
                                    reach const& reachable,
                                    std::vector<upstream_id> const& tried,
                                    instant now)
{
    this->candidates.resize(this->configured_upstreams.size());
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        config::upstream const& upstream =
            *this->configured_upstreams[index].upstream;
        upstream_record const& record = *this->upstream_records[index];
        policy::mean_load const& siblings =
            this->mean_load_in(this->configured_upstreams[index].region);
        policy::placement_candidate& candidate = this->candidates[index];
        candidate.hash = record.hash;
        candidate.slots = std::max(1U, record.health.usable_slots());
        candidate.in_flight = record.in_flight;
        candidate.held_by_others =
            record.estimate.held_by_others(siblings.held_by_others(), now);
        candidate.service_time =
            scaled(siblings.run_time(),
                   record.estimate.slowdown(now) *
                       record.momentary.factor(this->report_validity, now));
        candidate.one_way_latency = this->configured_upstreams[index].distance;
        candidate.region = this->configured_upstreams[index].region;
        candidate.zone = this->configured_upstreams[index].zone;
        bool const is_cold = now < record.cold_until;
        bool const suspected =
            record.health.condition() != policy::upstream_condition::healthy;
        candidate.penalty =
            scaled(siblings.run_time(), (suspected ? suspect_penalty_runs : 0) +
                                            (is_cold ? cold_penalty_runs : 0));
        candidate.tried =
            std::find(tried.begin(), tried.end(), upstream.id) != tried.end();
        candidate.likely_cached =
            object != 0 && record.objects.contains(object);
        bool const is_usable = this->is_reachable(reachable, index) &&
                               this->is_in_service(index, now);
        candidate.held_back = is_usable && this->is_held_back(index, now);
        candidate.allowed =
            is_usable && !candidate.held_back && record.limit.has_token(now) &&
            (!is_cold ||
             (this->may_send_to_cold(candidate.hash, candidate.region) &&
              record.cold_tokens.has_token(this->cold.requests_per_second,
                                           now)));
    }
}

policy::placement_verdict
service_state::place(policy::placement_request const& question,
                     reach const& reachable,
                     std::vector<upstream_id> const& tried, instant now)
{
    this->fill_candidates(question.object, reachable, tried, now);
    if (this->homes.has_value())
    {
        return this->place_with_homes(question, tried.empty(), now);
    }
    return this->placement.place(this->candidates, question, this->random);
}

} // namespace bilberrylead::entry
