#include "bilberrylead/policy/slot_table.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace bilberrylead::policy
{

namespace
{

using config::work_length;

/// Time constant of the average load of brief work.
constexpr duration load_window = std::chrono::seconds(1);
constexpr duration initial_brief_time = std::chrono::milliseconds(20);
constexpr duration initial_long_time = std::chrono::seconds(2);
/// Weight of one answer in the pool's mean log service time.
constexpr double pool_weight = 0.005;
/// Share of brief requests that complete within the reserve.
constexpr double reserve_quantile = 0.999;

} // namespace

slot_table::slot_table(std::vector<std::uint32_t> const& slots,
                       slot_table_settings const& settings)
    : settings(settings), brief_times(initial_brief_time),
      long_times(initial_long_time),
      pool_mean_log(std::log(static_cast<double>(initial_brief_time.count())))
{
    std::size_t max_grants = 0;
    for (std::uint32_t const count : slots)
    {
        upstream_slots upstream;
        upstream.slots = count;
        upstream.usable = count;
        this->upstreams.push_back(upstream);
        max_grants += count + settings.max_sent_in_advance;
    }
    this->grants.reserve(2 * max_grants);
}

slot_pool slot_table::pool() const
{
    slot_pool pool;
    for (upstream_slots const& upstream : this->upstreams)
    {
        if (upstream.slow || upstream.usable == 0)
        {
            continue;
        }
        std::uint32_t const max_granted =
            upstream.usable + this->settings.max_sent_in_advance;
        pool.usable += upstream.usable;
        pool.free += max_granted - std::min(max_granted, upstream.granted);
    }
    pool.long_held = this->long_held;
    pool.brief_average = this->brief_average;
    pool.brief_time = this->brief_times.mean();
    pool.brief_reserve = this->brief_times.quantile(reserve_quantile);
    pool.long_time = this->long_times.mean();
    return pool;
}

std::optional<std::uint32_t>
slot_table::pick(duration expected_wait, duration time_left, instant now) const
{
    std::optional<std::uint32_t> const fast = this->pick_fast();
    std::optional<std::uint32_t> const slow = this->pick_slow();
    if (slow.has_value() &&
        this->should_use_slow(this->upstreams[*slow], fast.has_value(),
                              expected_wait, time_left, now))
    {
        return slow;
    }
    return fast;
}

std::optional<std::uint32_t> slot_table::pick_fast() const
{
    // The upstream with the most free slots comes first. If none has a free
    // slot, the request is sent in advance to the upstream with the least long
    // work among those with the fewest requests sent in advance: its slots come
    // free soonest.
    std::optional<std::uint32_t> picked;
    std::int64_t best = 0;
    for (std::uint32_t index = 0; index < this->upstreams.size(); ++index)
    {
        upstream_slots const& upstream = this->upstreams[index];
        std::int64_t const unused =
            std::int64_t{upstream.usable} - upstream.granted;
        if (upstream.slow || upstream.usable == 0 ||
            unused + this->settings.max_sent_in_advance <= 0)
        {
            continue;
        }
        std::int64_t const rank =
            unused > 0 ? unused : unused * 1000 - upstream.long_held;
        if (!picked.has_value() || rank > best)
        {
            picked = index;
            best = rank;
        }
    }
    return picked;
}

std::optional<std::uint32_t> slot_table::pick_slow() const
{
    for (std::uint32_t index = 0; index < this->upstreams.size(); ++index)
    {
        upstream_slots const& upstream = this->upstreams[index];
        if (upstream.slow && upstream.granted < upstream.usable)
        {
            return index;
        }
    }
    return std::nullopt;
}

bool slot_table::should_use_slow(upstream_slots const& slow, bool fast_found,
                                 duration expected_wait, duration time_left,
                                 instant now) const
{
    // Nearly every request must still meet its deadline there.
    double const times = std::exp(slow.log_ratio);
    duration const reserve = this->brief_times.quantile(reserve_quantile);
    if (static_cast<double>(time_left.count()) <
        times * static_cast<double>(reserve.count()))
    {
        return false;
    }

    // One request per probe interval shows whether the upstream still is slow.
    // It gets more only if the wait for a fast slot is longer than the time
    // lost here.
    if (now - slow.last_probe >= this->settings.slow_probe_interval)
    {
        return true;
    }
    double const lost_ns =
        (times - 1) * static_cast<double>(this->mean_time().count());
    return !fast_found && static_cast<double>(expected_wait.count()) > lost_ns;
}

slot_grant const& slot_table::grant(std::uint32_t upstream, std::uint32_t host,
                                    work_length length, instant expires,
                                    instant now)
{
    assert(upstream < this->upstreams.size());
    this->record_load(now);
    upstream_slots& slots = this->upstreams[upstream];
    slot_grant granted_slot;
    granted_slot.id = ++this->last_id;
    granted_slot.upstream = upstream;
    granted_slot.host = host;
    granted_slot.length = length;
    granted_slot.expires = expires;
    granted_slot.slot_was_free = slots.granted < slots.usable;
    ++slots.granted;
    slots.last_probe = now;
    slots.long_held += length == work_length::extended ? 1 : 0;
    this->long_held += length == work_length::extended ? 1 : 0;
    this->grants.push_back(granted_slot);
    return this->grants.back();
}

void slot_table::start_epoch(std::uint64_t epoch)
{
    constexpr unsigned bits_within_epoch = 40;
    this->last_id = epoch << bits_within_epoch;
}

void slot_table::adopt(slot_grant const& held, instant now)
{
    for (slot_grant const& existing : this->grants)
    {
        if (existing.id == held.id)
        {
            return;
        }
    }
    this->record_load(now);
    upstream_slots& slots = this->upstreams.at(held.upstream);
    ++slots.granted;
    slots.long_held += held.length == work_length::extended ? 1 : 0;
    this->long_held += held.length == work_length::extended ? 1 : 0;
    this->grants.push_back(held);
}

bool slot_table::release(std::uint64_t id, duration service_time, instant now)
{
    for (std::size_t index = 0; index < this->grants.size(); ++index)
    {
        if (this->grants[index].id != id)
        {
            continue;
        }
        slot_grant const held = this->grants[index];
        this->grants[index] = this->grants.back();
        this->grants.pop_back();
        this->return_slot(held, now);
        if (service_time > duration{} && held.slot_was_free)
        {
            if (held.length == work_length::brief)
            {
                this->record_service_time(this->upstreams[held.upstream],
                                          service_time);
            }
            else
            {
                this->long_times.add(service_time);
            }
        }
        return true;
    }
    return false;
}

void slot_table::renew(std::uint32_t host, instant expires)
{
    for (slot_grant& grant : this->grants)
    {
        if (grant.host == host)
        {
            grant.expires = std::max(grant.expires, expires);
        }
    }
}

std::uint32_t slot_table::expire(instant now)
{
    std::uint32_t expired = 0;
    for (std::size_t index = 0; index < this->grants.size();)
    {
        if (this->grants[index].expires > now)
        {
            ++index;
            continue;
        }
        this->return_slot(this->grants[index], now);
        this->grants[index] = this->grants.back();
        this->grants.pop_back();
        ++expired;
    }
    return expired;
}

void slot_table::return_slot(slot_grant const& grant, instant now)
{
    this->record_load(now);
    upstream_slots& slots = this->upstreams[grant.upstream];
    assert(slots.granted > 0);
    --slots.granted;
    slots.long_held -= grant.length == work_length::extended ? 1 : 0;
    this->long_held -= grant.length == work_length::extended ? 1 : 0;
}

void slot_table::set_usable(std::uint32_t upstream, std::uint32_t usable)
{
    upstream_slots& slots = this->upstreams.at(upstream);
    slots.usable = std::min(usable, slots.slots);
}

std::uint32_t slot_table::granted(std::uint32_t upstream) const
{
    return this->upstreams.at(upstream).granted;
}

std::uint32_t slot_table::free_slots() const
{
    std::uint32_t free = 0;
    for (upstream_slots const& upstream : this->upstreams)
    {
        std::uint32_t const held = std::min(upstream.granted, upstream.usable);
        free += upstream.slow ? 0 : upstream.usable - held;
    }
    return free;
}

std::uint32_t slot_table::sent_in_advance() const
{
    std::uint32_t sent = 0;
    for (upstream_slots const& upstream : this->upstreams)
    {
        sent += upstream.granted - std::min(upstream.granted, upstream.usable);
    }
    return sent;
}

bool slot_table::is_slow(std::uint32_t upstream) const
{
    return this->upstreams.at(upstream).slow;
}

void slot_table::record_load(instant now)
{
    // Exponential moving average of the slots held, weighted by time.
    duration const passed = now - this->load_recorded_at;
    this->load_recorded_at = now;
    double const keep = std::exp(-static_cast<double>(passed.count()) /
                                 static_cast<double>(load_window.count()));
    double const brief_held =
        static_cast<double>(this->grants.size()) - this->long_held;
    this->brief_average = keep * this->brief_average + (1 - keep) * brief_held;
}

bool slot_table::may_flag_slow() const
{
    // At most half of the upstreams are flagged as slow. When all of them get
    // slow, the cause is a dependency that they share, and avoiding them all
    // would leave no slots.
    std::size_t slow = 1;
    for (upstream_slots const& upstream : this->upstreams)
    {
        slow += upstream.slow ? 1 : 0;
    }
    return this->settings.avoid_slow && 2 * slow <= this->upstreams.size();
}

void slot_table::record_service_time(upstream_slots& upstream,
                                     duration service_time)
{
    double const sample = std::log(static_cast<double>(service_time.count()));
    double const weight = upstream.slow ? this->settings.probe_weight
                                        : this->settings.mean_weight;
    upstream.log_ratio +=
        weight * (sample - this->pool_mean_log - upstream.log_ratio);

    // Hysteresis: the flag is cleared at a lower ratio than it is set, or an
    // upstream at the threshold would change with each answer.
    double const threshold = std::log(this->settings.slow_ratio);
    upstream.slow =
        upstream.slow ? upstream.log_ratio > threshold / 2
                      : upstream.log_ratio > threshold && this->may_flag_slow();
    if (!upstream.slow)
    {
        this->brief_times.add(service_time);
        this->pool_mean_log += pool_weight * (sample - this->pool_mean_log);
    }
}

} // namespace bilberrylead::policy
