#include "bilberrylead/entry/service_state.hpp"

#include <algorithm>
#include <chrono>

/// Placing requests that wait at upstreams.
namespace bilberrylead::entry
{

namespace
{

/// Handicap of an upstream that failed a moment ago, in runs: after every
/// sound one, before a refusal.
constexpr double suspicion_runs = 3;
/// A cold upstream is that much slower, and every request it gets makes its
/// callers wait; sound ones go first.
constexpr double cold_runs = 1;

} // namespace

void service_state::set_shares(policy::cold_share const& chosen,
                               double saved_retries)
{
    this->cold = chosen;
    this->budget.set_max_saved(saved_retries);
}

double service_state::demand(instant now) const
{
    return this->arrivals.per_second(now) *
           std::chrono::duration<double>(this->usual.run_time()).count();
}

policy::mean_load& service_state::usual_in(std::uint32_t region)
{
    return this->usual_by_region.try_emplace(region, this->usual).first->second;
}

bool service_state::sends_cold_to(std::uint64_t upstream,
                                  std::uint32_t region) const
{
    if (this->cold.region.has_value() && this->cold.region != region)
    {
        return false;
    }
    // Each cold upstream has other hosts that send to it.
    return this->cold.host_fraction >= 1 ||
           policy::generator(this->cold.host_hash ^ upstream).unit() <
               this->cold.host_fraction;
}

void service_state::note_cold(zone_id const& zone, instant until)
{
    for (std::size_t place = 0; place < this->configured.size(); ++place)
    {
        if (this->configured[place].upstream->zone == zone)
        {
            upstream_record& known = *this->configured_records[place];
            known.cold_until = std::max(known.cold_until, until);
        }
    }
}

void service_state::note_load(upstream_id const& id, upstream_load const& load,
                              instant now)
{
    upstream_record& known = this->record(id);
    std::uint32_t const held = load.running + load.waiting;
    known.estimate.record_report(held, known.in_flight, now);
    double const others = held > known.in_flight ? held - known.in_flight : 0;
    this->usual.record_held_by_others(others);
    this->usual_in(known.region).record_held_by_others(others);
}

void service_state::note_run(upstream_id const& id, duration time,
                             std::uint64_t object, instant now)
{
    // The mean follows what upstreams of usual speed do; one that is slow
    // must not make its slowness the usual.
    upstream_record& known = this->record(id);
    policy::mean_load& siblings = this->usual_in(known.region);
    known.estimate.record_run(time, siblings.run_time(), now);
    if (object != 0)
    {
        known.objects.record(object);
    }
    duration const normal =
        scaled(time, 1.0 / std::max(1.0, known.estimate.slowdown(now)));
    siblings.record_run(normal);
    this->usual.record_run(normal);
}

void service_state::fill_candidates(std::uint64_t object, reach const& reached,
                                    std::vector<upstream_id> const& tried,
                                    instant now)
{
    this->candidates.resize(this->configured.size());
    for (std::size_t place = 0; place < this->configured.size(); ++place)
    {
        config::upstream const& upstream = *this->configured[place].upstream;
        upstream_record const& known = *this->configured_records[place];
        policy::mean_load const& siblings =
            this->usual_in(this->configured[place].region);
        policy::placement_candidate& candidate = this->candidates[place];
        candidate.hash = known.hash;
        candidate.slots = std::max(1U, known.health.usable_slots());
        candidate.in_flight = known.in_flight;
        candidate.held_by_others =
            known.estimate.held_by_others(siblings.held_by_others(), now);
        candidate.service_time =
            scaled(siblings.run_time(), known.estimate.slowdown(now));
        candidate.one_way_latency = this->configured[place].distance;
        candidate.region = this->configured[place].region;
        bool const is_cold = now < known.cold_until;
        bool const suspected =
            known.health.condition() != policy::upstream_condition::healthy;
        candidate.penalty =
            scaled(siblings.run_time(), (suspected ? suspicion_runs : 0) +
                                            (is_cold ? cold_runs : 0));
        candidate.tried =
            std::find(tried.begin(), tried.end(), upstream.id) != tried.end();
        candidate.likely_cached = object != 0 && known.objects.contains(object);
        candidate.allowed =
            this->reaches(reached, place) && this->open(place, now) &&
            known.limit.has_token(now) &&
            (!is_cold ||
             (this->sends_cold_to(candidate.hash, candidate.region) &&
              known.cold_tokens.has_token(this->cold.requests_per_second,
                                          now)));
    }
}

policy::placement_verdict
service_state::place(policy::placement_request const& question,
                     reach const& reached,
                     std::vector<upstream_id> const& tried, instant now)
{
    this->fill_candidates(question.object, reached, tried, now);
    return this->placement.place(this->candidates, question, this->random);
}

} // namespace bilberrylead::entry
