#include "bilberrylead/entry/service_state.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <functional>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace bilberrylead::entry
{

namespace
{

constexpr duration brief_guess = std::chrono::milliseconds(20);
constexpr duration extended_guess = std::chrono::seconds(2);
/// Runs before the first one was seen.
constexpr duration run_guess = std::chrono::milliseconds(100);
/// Share of requests whose answer begins within the reserve. With the mean
/// every second request that is let in at the limit would be late.
constexpr double reserve_share = 0.99;
/// Weight of one 10 ms check in the mean of slots held: about a second.
constexpr double average_weight = 0.01;

/// All of a service's upstreams are its own, so its long work is beside no
/// brief work: it queues like brief work that is in less of a hurry.
policy::admission_queue_settings settings_for(config::work_length length)
{
    policy::admission_queue_settings settings;
    if (length == config::work_length::extended)
    {
        settings.max_burst_wait = settings.max_long_wait;
        settings.max_standing_wait = settings.max_long_wait;
    }
    return settings;
}

} // namespace

service_state::service_state(config::work_length usual_length,
                             std::uint64_t seed,
                             policy::placement_settings const& placing)
    : random(seed), length(usual_length), placement(placing),
      usual(run_guess, 0),
      held(usual_length == config::work_length::brief ? brief_guess
                                                      : extended_guess),
      answered(brief_guess)
{
}

void service_state::configure(std::vector<configured_upstream> upstreams)
{
    assert(this->waiting() == 0);
    this->queues.clear();
    this->configured = std::move(upstreams);
    std::unordered_set<upstream_id> present;
    present.reserve(this->configured.size());
    for (configured_upstream const& each : this->configured)
    {
        present.insert(each.upstream->id);
    }
    std::erase_if(this->records,
                  [&present](auto const& known)
                  {
                      return known.second.in_flight == 0 &&
                             !present.contains(known.first);
                  });
    this->configured_records.clear();
    for (configured_upstream const& each : this->configured)
    {
        upstream_record& known =
            this->records.try_emplace(each.upstream->id, each.upstream->slots)
                .first->second;
        // Records stay where they are until they are erased above.
        this->configured_records.push_back(&known);
        known.cold_until = std::max(known.cold_until, each.cold_until);
        known.region = each.region;
        known.hash = std::hash<upstream_id>{}(each.upstream->id);
    }
}

std::vector<std::uint64_t> service_state::take_waiting(instant now)
{
    policy::slot_pool endless;
    endless.usable = 1;
    endless.free = 1;
    std::vector<std::uint64_t> taken_out;
    for (auto& [reached, queue] : this->queues)
    {
        while (std::optional<policy::waiting_request> const each =
                   queue.pop(endless, now))
        {
            taken_out.push_back(each->ticket);
        }
    }
    std::sort(taken_out.begin(), taken_out.end());
    return taken_out;
}

upstream_record& service_state::record(upstream_id const& id)
{
    return this->records.try_emplace(id, 1).first->second;
}

bool service_state::reaches(reach const& reached, std::size_t place) const
{
    return reached.empty() || reached[place];
}

bool service_state::open(std::size_t place, instant now) const
{
    config::upstream const& upstream = *this->configured[place].upstream;
    upstream_record const& known = *this->configured_records[place];
    return !upstream.leaving && !this->configured[place].closed &&
           known.leaving_until <= now && known.health.usable_slots() > 0;
}

bool service_state::takes_work(reach const& reached, instant now) const
{
    for (std::size_t place = 0; place < this->configured.size(); ++place)
    {
        if (this->reaches(reached, place) && this->open(place, now))
        {
            return true;
        }
    }
    return false;
}

policy::slot_pool service_state::pool(reach const& reached, instant now) const
{
    policy::slot_pool found;
    for (std::size_t place = 0; place < this->configured.size(); ++place)
    {
        if (!this->reaches(reached, place) || !this->open(place, now))
        {
            continue;
        }
        upstream_record const& known = *this->configured_records[place];
        std::uint32_t const usable = known.health.usable_slots();
        found.usable += usable;
        if (known.limit.has_token(now))
        {
            found.free += usable - std::min(usable, known.in_flight);
        }
    }
    found.brief_average = this->average_taken;
    found.brief_time = this->held.mean();
    found.brief_reserve = this->usual_answer();
    return found;
}

policy::admission_queue& service_state::queue(reach const& reached)
{
    return this->queues.try_emplace(reached, settings_for(this->length))
        .first->second;
}

policy::admission_verdict
service_state::offer(policy::waiting_request const& request,
                     reach const& reached, instant now)
{
    return this->queue(reached).offer(request, this->pool(reached, now), now);
}

duration service_state::expected_wait(std::uint32_t flow, reach const& reached,
                                      instant now)
{
    return this->queue(reached).expected_wait(flow, this->pool(reached, now),
                                              now);
}

std::optional<std::uint64_t> service_state::next(instant now)
{
    // One queue after the other, so that callers with a small reach are not
    // behind all the others.
    for (std::size_t step = 0; step < this->queues.size(); ++step)
    {
        this->turn = (this->turn + 1) % this->queues.size();
        auto const place = std::next(this->queues.begin(),
                                     static_cast<std::ptrdiff_t>(this->turn));
        if (place->second.size() == 0)
        {
            continue;
        }
        std::optional<policy::waiting_request> const first =
            place->second.pop(this->pool(place->first, now), now);
        if (first.has_value())
        {
            return first->ticket;
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> service_state::next_expired(instant now)
{
    for (auto& [reached, queue] : this->queues)
    {
        if (queue.size() == 0)
        {
            continue;
        }
        std::optional<policy::waiting_request> const late =
            queue.pop_expired(this->pool(reached, now), now);
        if (late.has_value())
        {
            return late->ticket;
        }
    }
    return std::nullopt;
}

void service_state::cancel(std::uint64_t ticket, reach const& reached)
{
    this->queue(reached).cancel(ticket);
}

void service_state::fill_views(reach const& reached,
                               std::vector<upstream_id> const& left_out,
                               instant now)
{
    this->views.upstreams.resize(this->configured.size());
    for (std::size_t place = 0; place < this->configured.size(); ++place)
    {
        config::upstream const& upstream = *this->configured[place].upstream;
        upstream_record const& known = *this->configured_records[place];
        policy::upstream_view& view = this->views.upstreams[place];
        view.slots = upstream.slots;
        view.usable_slots = known.health.usable_slots();
        view.in_flight = known.in_flight;
        view.in_use_by_others = known.in_use_by_others;
        view.report_age =
            known.is_reported ? now - known.reported_at : duration::max();
        view.service_time = known.held.mean();
        view.one_way_latency = this->configured[place].distance;
        view.condition = known.health.condition();
        view.leaving = !this->open(place, now);
        // What is beyond the slots would wait behind one, where it can be
        // neither moved nor refused in time.
        view.allowed =
            this->reaches(reached, place) && known.limit.has_token(now) &&
            known.in_flight < view.usable_slots &&
            std::find(left_out.begin(), left_out.end(), upstream.id) ==
                left_out.end();
    }
}

std::optional<std::size_t>
service_state::pick(reach const& reached,
                    std::vector<upstream_id> const& left_out, instant now)
{
    this->fill_views(reached, left_out, now);
    return this->choice.choose(this->views, now, this->random);
}

config::upstream const*
service_state::choose(reach const& reached,
                      std::vector<upstream_id> const& tried, instant now)
{
    std::optional<std::size_t> found = this->pick(reached, tried, now);
    if (!found.has_value() && !tried.empty())
    {
        // Once all were tried, one of them may have room by now, or take a
        // new connection where the old one was dead.
        found = this->pick(reached, {}, now);
    }
    return found.has_value() ? this->configured[*found].upstream : nullptr;
}

void service_state::take_slot(upstream_id const& id, instant now)
{
    upstream_record& known = this->record(id);
    if (now < known.cold_until)
    {
        known.cold_tokens.consume(this->cold.requests_per_second, now);
    }
    if (known.limit.is_in_force(now))
    {
        known.limit.consume(now, this->random);
        this->untold_limits.insert(id);
    }
    ++known.in_flight;
    ++this->taken;
}

void service_state::free_slot(upstream_id const& id)
{
    upstream_record& known = this->record(id);
    assert(known.in_flight > 0 && this->taken > 0);
    --known.in_flight;
    --this->taken;
}

void service_state::note_answer(upstream_id const& id, duration took,
                                instant now)
{
    this->answered.add(took);
    this->budget.record_success();
    this->record(id).health.reduce(policy::upstream_answered{}, now);
}

void service_state::note_held(upstream_id const& id, duration time)
{
    this->held.add(time);
    this->record(id).held.add(time);
}

void service_state::note_failure(upstream_id const& id, instant now)
{
    upstream_record& known = this->record(id);
    bool const room =
        policy::may_eject(known.health.usable_slots(),
                          this->pool({}, now).usable, this->average_taken);
    known.health.reduce(policy::upstream_failed{room}, now);
}

void service_state::note_refusal(upstream_id const& id, instant now)
{
    upstream_record& known = this->record(id);
    std::uint32_t slots = 1;
    for (configured_upstream const& each : this->configured)
    {
        if (each.upstream->id == id)
        {
            slots = each.upstream->slots;
        }
    }
    known.in_use_by_others = slots - std::min(slots, known.in_flight);
    known.reported_at = now;
    known.is_reported = true;
    known.estimate.record_refusal(slots, known.in_flight, now);
}

void service_state::note_report(upstream_id const& id,
                                std::uint32_t slots_in_use, instant now)
{
    upstream_record& known = this->record(id);
    known.in_use_by_others =
        slots_in_use - std::min(slots_in_use, known.in_flight);
    known.reported_at = now;
    known.is_reported = true;
}

void service_state::note_leaving(upstream_id const& id, instant until)
{
    this->record(id).leaving_until = until;
}

void service_state::check(instant now)
{
    this->average_taken += average_weight * (static_cast<double>(this->taken) -
                                             this->average_taken);
    bool const short_of_room =
        this->waiting() > 0 && this->pool({}, now).free == 0;
    for (auto& [id, known] : this->records)
    {
        known.health.reduce(policy::health_timer_elapsed{}, now);
        if (short_of_room)
        {
            known.health.reduce(policy::capacity_exhausted{}, now);
        }
    }
}

duration service_state::usual_answer() const
{
    return this->answered.quantile(reserve_share);
}

std::size_t service_state::waiting() const
{
    std::size_t count = 0;
    for (auto const& [reached, queue] : this->queues)
    {
        count += queue.size();
    }
    return count;
}

} // namespace bilberrylead::entry
