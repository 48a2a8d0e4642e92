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

constexpr duration initial_brief_time = std::chrono::milliseconds(20);
constexpr duration initial_extended_time = std::chrono::seconds(2);
/// Assumed run time before the first run was measured.
constexpr duration initial_run_time = std::chrono::milliseconds(100);
/// Quantile of the time to the answer that is reserved before a deadline. With
/// the mean, every second request admitted at the limit would be late.
constexpr double reserve_quantile = 0.99;
/// Weight of one 10 ms tick in the mean of held slots: a time constant of about
/// one second.
constexpr double average_weight = 0.01;

/// How long the record of a leaving or resting upstream is kept after it
/// vanished: a list that lags may still contain the upstream later.
constexpr duration absent_retention = std::chrono::minutes(10);

bool is_withheld_by(upstream_record const& record, instant now)
{
    return record.leaving_until > now || record.rest.is_resting(now);
}

/// True if the record of an upstream that is not configured any more can be
/// discarded.
bool is_obsolete(upstream_record const& record, instant now)
{
    bool const is_retained = is_withheld_by(record, now) &&
                             (!record.absent_since.has_value() ||
                              now - *record.absent_since < absent_retention);
    return record.in_flight == 0 && !is_retained;
}

/// The record of the next incarnation of an upstream. It holds and knows
/// nothing of before, so little is taken over: coldness and its tokens, as a
/// cold upstream that gets too much ends; and the limit, until an answer states
/// none.
upstream_record next_incarnation(upstream_record const& before,
                                 std::uint32_t slots)
{
    upstream_record record(slots);
    record.cold_until = before.cold_until;
    record.cold_tokens = before.cold_tokens;
    record.limit = before.limit;
    record.sent_limit_seen_at = before.sent_limit_seen_at;
    return record;
}

/// Removes all requests from the queue and appends their tickets to `removed`.
void empty_queue(policy::admission_queue& queue,
                 std::vector<std::uint64_t>& removed, instant now)
{
    policy::slot_pool unlimited_pool;
    unlimited_pool.usable = 1;
    unlimited_pool.free = 1;
    while (std::optional<policy::waiting_request> const each =
               queue.pop(unlimited_pool, now))
    {
        removed.push_back(each->ticket);
    }
}

/// The upstreams of a service are its own, so its extended work never competes
/// with brief work: it is queued like brief work with longer permitted waits.
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
    : random(seed), limit_random(policy::generator(seed).next()),
      work_length(usual_length), placement(placing),
      mean_load(initial_run_time, 0),
      slot_time(usual_length == config::work_length::brief
                    ? initial_brief_time
                    : initial_extended_time),
      answer_time(initial_brief_time)
{
    if (placing.homes == config::object_homes::zone)
    {
        this->homes.emplace(placing.remembered_objects);
    }
}

void service_state::configure(std::vector<configured_upstream> upstreams,
                              instant now)
{
    assert(this->waiting() == 0);
    this->queues.clear();
    this->configured_upstreams = std::move(upstreams);
    std::unordered_set<upstream_id> present;
    present.reserve(this->configured_upstreams.size());
    for (configured_upstream const& each : this->configured_upstreams)
    {
        present.insert(each.upstream->id);
    }
    std::erase_if(this->records,
                  [&present, now](auto const& entry)
                  {
                      return !present.contains(entry.first) &&
                             is_obsolete(entry.second, now);
                  });
    for (auto& [id, record] : this->records)
    {
        record.in_service = false;
        record.absent_since =
            present.contains(id)
                ? std::nullopt
                : std::optional(record.absent_since.value_or(now));
    }
    this->upstream_records.clear();
    for (configured_upstream const& each : this->configured_upstreams)
    {
        upstream_record& record =
            this->records.try_emplace(each.upstream->id, each.upstream->slots)
                .first->second;
        // Records keep their addresses until they are erased above.
        this->upstream_records.push_back(&record);
        if (each.incarnation > record.incarnation)
        {
            record = next_incarnation(record, each.upstream->slots);
            record.incarnation = each.incarnation;
        }
        record.cold_until = std::max(record.cold_until, each.cold_until);
        record.in_service = !each.upstream->leaving && !each.closed;
        record.region = each.region;
        record.hash = std::hash<upstream_id>{}(each.upstream->id);
    }
}

std::vector<std::uint64_t> service_state::remove_waiting(instant now)
{
    std::vector<std::uint64_t> removed;
    for (auto& [reachable, queue] : this->queues)
    {
        empty_queue(queue, removed, now);
    }
    std::sort(removed.begin(), removed.end());
    return removed;
}

std::vector<std::uint64_t> service_state::remove_stranded(instant now)
{
    std::vector<std::uint64_t> removed;
    for (auto& [reachable, queue] : this->queues)
    {
        if (queue.size() > 0 && !this->accepts_work(reachable, now))
        {
            empty_queue(queue, removed, now);
        }
    }
    std::sort(removed.begin(), removed.end());
    return removed;
}

upstream_record& service_state::record_of(upstream_id const& id)
{
    return this->records.try_emplace(id, 1).first->second;
}

upstream_record& service_state::record_of(upstream_incarnation const& from)
{
    auto const [position, is_new] = this->records.try_emplace(from.id, 1);
    if (is_new)
    {
        position->second.incarnation = from.number;
    }
    if (position->second.incarnation == from.number)
    {
        return position->second;
    }
    this->ended_record = upstream_record(1);
    return this->ended_record;
}

bool service_state::is_current(upstream_incarnation const& from) const
{
    auto const found = this->records.find(from.id);
    return found == this->records.end() ||
           found->second.incarnation == from.number;
}

upstream_incarnation
service_state::current_incarnation(upstream_id const& id) const
{
    auto const found = this->records.find(id);
    return {id, found == this->records.end() ? discovery::list_position{}
                                             : found->second.incarnation};
}

bool service_state::is_reachable(reach const& reachable,
                                 std::size_t index) const
{
    return reachable.empty() || reachable[index];
}

/// True if the upstream may receive requests, apart from a rest.
bool service_state::is_in_service(std::size_t index, instant now) const
{
    upstream_record const& record = *this->upstream_records[index];
    return record.in_service && record.leaving_until <= now &&
           record.health.usable_slots() > 0;
}

/// True if the upstream rests, or returns from a rest and has as many requests
/// in progress as it may.
bool service_state::is_held_back(std::size_t index, instant now) const
{
    upstream_record const& record = *this->upstream_records[index];
    return record.in_flight >= record.rest.max_in_flight(now);
}

bool service_state::is_open(std::size_t index, instant now) const
{
    return this->is_in_service(index, now) &&
           !this->upstream_records[index]->rest.is_resting(now);
}

config::upstream const*
service_state::find_upstream(upstream_id const& id) const
{
    auto const found = std::find_if(this->configured_upstreams.begin(),
                                    this->configured_upstreams.end(),
                                    [&id](configured_upstream const& each)
                                    {
                                        return each.upstream->id == id;
                                    });
    return found == this->configured_upstreams.end() ? nullptr
                                                     : found->upstream;
}

bool service_state::is_withheld(upstream_id const& id, instant now) const
{
    auto const found = this->records.find(id);
    return found == this->records.end() || is_withheld_by(found->second, now);
}

void service_state::reset_health()
{
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        this->upstream_records[index]->health = policy::upstream_health(
            this->configured_upstreams[index].upstream->slots);
    }
}

bool service_state::may_receive(upstream_id const& id, instant now) const
{
    auto const found = this->records.find(id);
    return found != this->records.end() && found->second.in_service &&
           !is_withheld_by(found->second, now);
}

bool service_state::accepts_work(reach const& reachable, instant now) const
{
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        if (this->is_reachable(reachable, index) && this->is_open(index, now))
        {
            return true;
        }
    }
    return false;
}

policy::slot_pool service_state::make_pool(reach const& reachable,
                                           instant now) const
{
    policy::slot_pool found;
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        if (!this->is_reachable(reachable, index) || !this->is_open(index, now))
        {
            continue;
        }
        upstream_record const& record = *this->upstream_records[index];
        std::uint32_t const usable = std::min(record.health.usable_slots(),
                                              record.rest.max_in_flight(now));
        found.usable += usable;
        if (record.limit.has_token(now))
        {
            found.free += usable - std::min(usable, record.in_flight);
        }
    }
    found.brief_average = this->average_slots_held;
    found.brief_time = this->slot_time.mean();
    found.brief_reserve = this->usual_answer();
    return found;
}

policy::admission_queue& service_state::queue_for(reach const& reachable)
{
    return this->queues.try_emplace(reachable, settings_for(this->work_length))
        .first->second;
}

policy::admission_verdict
service_state::offer(policy::waiting_request const& request,
                     reach const& reachable, instant now)
{
    return this->queue_for(reachable).offer(
        request, this->make_pool(reachable, now), now);
}

duration service_state::expected_wait(std::uint32_t flow,
                                      reach const& reachable, instant now)
{
    return this->queue_for(reachable).expected_wait(
        flow, this->make_pool(reachable, now), now);
}

std::optional<std::uint64_t> service_state::next(instant now)
{
    // Visits the queues in turn, so that callers that reach few upstreams are
    // not always served after all others.
    for (std::size_t step = 0; step < this->queues.size(); ++step)
    {
        this->last_queue = (this->last_queue + 1) % this->queues.size();
        auto const entry =
            std::next(this->queues.begin(),
                      static_cast<std::ptrdiff_t>(this->last_queue));
        if (entry->second.size() == 0)
        {
            continue;
        }
        std::optional<policy::waiting_request> const first =
            entry->second.pop(this->make_pool(entry->first, now), now);
        if (first.has_value())
        {
            return first->ticket;
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> service_state::next_expired(instant now)
{
    for (auto& [reachable, queue] : this->queues)
    {
        if (queue.size() == 0)
        {
            continue;
        }
        std::optional<policy::waiting_request> const late =
            queue.pop_expired(this->make_pool(reachable, now), now);
        if (late.has_value())
        {
            return late->ticket;
        }
    }
    return std::nullopt;
}

void service_state::cancel(std::uint64_t ticket, reach const& reachable)
{
    this->queue_for(reachable).cancel(ticket);
}

void service_state::fill_views(reach const& reachable,
                               std::vector<upstream_id> const& excluded,
                               instant now)
{
    this->views.upstreams.resize(this->configured_upstreams.size());
    for (std::size_t index = 0; index < this->configured_upstreams.size();
         ++index)
    {
        config::upstream const& upstream =
            *this->configured_upstreams[index].upstream;
        upstream_record const& record = *this->upstream_records[index];
        policy::upstream_view& view = this->views.upstreams[index];
        view.slots = upstream.slots;
        view.usable_slots = std::min(record.health.usable_slots(),
                                     record.rest.max_in_flight(now));
        view.in_flight = record.in_flight;
        view.in_use_by_others = record.in_use_by_others;
        view.report_age =
            record.is_reported ? now - record.reported_at : duration::max();
        view.service_time = record.slot_time.mean();
        view.one_way_latency = this->configured_upstreams[index].distance;
        view.condition = record.health.condition();
        view.leaving = !this->is_open(index, now);
        // A request beyond the slots would wait at the upstream, where it could
        // be neither moved nor refused in time.
        view.allowed = this->is_reachable(reachable, index) &&
                       record.limit.has_token(now) &&
                       record.in_flight < view.usable_slots &&
                       std::find(excluded.begin(), excluded.end(),
                                 upstream.id) == excluded.end();
    }
}

std::optional<std::size_t>
service_state::choose_excluding(reach const& reachable,
                                std::vector<upstream_id> const& excluded,
                                instant now)
{
    this->fill_views(reachable, excluded, now);
    return this->choice.choose(this->views, now, this->random);
}

config::upstream const*
service_state::choose(reach const& reachable,
                      std::vector<upstream_id> const& tried, instant now)
{
    std::optional<std::size_t> found =
        this->choose_excluding(reachable, tried, now);
    if (!found.has_value() && !tried.empty())
    {
        // All upstreams were tried. One of them may have free capacity by now,
        // or accept a new connection where the previous one was dead.
        found = this->choose_excluding(reachable, {}, now);
    }
    return found.has_value() ? this->configured_upstreams[*found].upstream
                             : nullptr;
}

std::optional<limit_use> service_state::acquire_slot(upstream_id const& id,
                                                     instant now)
{
    upstream_record& record = this->record_of(id);
    if (now < record.cold_until)
    {
        record.cold_tokens.consume(this->cold.requests_per_second, now);
    }
    std::optional<limit_use> use;
    if (record.limit.is_in_force(now))
    {
        use = limit_use{record.limit.per_second().value_or(0),
                        record.limit.level(now), record.limit.report_age(now),
                        record.limit.use_probability(now)};
        this->unsent_limits.insert(id);
    }
    record.limit.consume(now, this->limit_random);
    ++record.in_flight;
    ++this->slots_held;
    return use;
}

void service_state::release_slot(upstream_incarnation const& from)
{
    assert(this->slots_held > 0);
    --this->slots_held;
    auto const found = this->records.find(from.id);
    // A record that was made again by a late answer counts no requests.
    if (found != this->records.end() &&
        found->second.incarnation == from.number && found->second.in_flight > 0)
    {
        --found->second.in_flight;
    }
}

void service_state::record_answer(upstream_incarnation const& from,
                                  duration took, instant now)
{
    this->answer_time.add(took);
    this->budget.record_success();
    upstream_record& record = this->record_of(from);
    record.health.reduce(policy::upstream_answered{}, now);
    record.rest.record_answer(record.health.usable_slots(), now);
}

void service_state::record_slot_time(upstream_incarnation const& from,
                                     duration time)
{
    this->slot_time.add(time);
    this->record_of(from).slot_time.add(time);
}

void service_state::record_failure(upstream_incarnation const& from,
                                   instant now)
{
    upstream_record& record = this->record_of(from);
    bool const has_capacity = policy::may_eject(record.health.usable_slots(),
                                                this->make_pool({}, now).usable,
                                                this->average_slots_held);
    record.health.reduce(policy::upstream_failed{has_capacity}, now);
}

void service_state::record_refusal(upstream_incarnation const& from,
                                   instant now)
{
    upstream_record& record = this->record_of(from);
    config::upstream const* const upstream = this->find_upstream(from.id);
    std::uint32_t const slots = upstream == nullptr ? 1 : upstream->slots;
    record.in_use_by_others = slots - std::min(slots, record.in_flight);
    record.reported_at = now;
    record.is_reported = true;
    record.estimate.record_refusal(slots, record.in_flight, now);
}

void service_state::record_load_report(upstream_id const& id,
                                       std::uint32_t slots_in_use, instant now)
{
    upstream_record& record = this->record_of(id);
    record.in_use_by_others =
        slots_in_use - std::min(slots_in_use, record.in_flight);
    record.reported_at = now;
    record.is_reported = true;
}

bool service_state::record_leaving(upstream_incarnation const& from,
                                   instant until, instant now)
{
    instant& leaving_until = this->record_of(from).leaving_until;
    bool const is_new = leaving_until <= now;
    leaving_until = std::max(leaving_until, until);
    return is_new;
}

void service_state::advance(instant now)
{
    this->average_slots_held +=
        average_weight *
        (static_cast<double>(this->slots_held) - this->average_slots_held);
    bool const out_of_capacity =
        this->waiting() > 0 && this->make_pool({}, now).free == 0;
    for (auto& [id, record] : this->records)
    {
        record.health.reduce(policy::health_timer_elapsed{}, now);
        if (out_of_capacity)
        {
            record.health.reduce(policy::capacity_exhausted{}, now);
        }
        if (record.limit.is_in_force(now))
        {
            record.limit.advance(now);
        }
    }
}

duration service_state::usual_answer() const
{
    return this->answer_time.quantile(reserve_quantile);
}

std::size_t service_state::waiting() const
{
    std::size_t count = 0;
    for (auto const& [reachable, queue] : this->queues)
    {
        count += queue.size();
    }
    return count;
}

} // namespace bilberrylead::entry
