#include "bilberrylead/policy/slot_owner.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

namespace
{

using config::work_length;

/// Wait of a request behind `requests` others that each hold one of `slots`
/// slots for `hold_time`.
duration wait_behind(std::size_t requests, duration hold_time,
                     std::uint32_t slots)
{
    return duration(hold_time.count() * static_cast<std::int64_t>(requests) /
                    std::max(1U, slots));
}

} // namespace

slot_owner::slot_owner(std::vector<std::uint32_t> const& slots,
                       std::vector<nearby_zone> const& zones,
                       slot_owner_settings const& settings)
    : settings(settings), table(slots, settings.slots),
      queue(settings.admission), zones(zones)
{
    this->effects.reserve(settings.admission.queue.capacity);
}

std::vector<slot_owner_effect> const&
slot_owner::reduce(slot_owner_event const& event, instant now)
{
    this->effects.clear();
    this->table.expire(now);
    std::visit(
        [this, now](auto const& alternative)
        {
            this->on(alternative, now);
        },
        event);
    if (!this->owns_slots(now))
    {
        this->refuse_all_waiting();
    }
    this->grant_waiting(now);
    this->refuse_expired(now);
    return this->effects;
}

zone_load_reported slot_owner::load(instant now) const
{
    zone_load_reported report;
    report.usable = this->table.pool().usable;
    report.expected_wait = this->expected_wait(0, now);
    return report;
}

bool slot_owner::grants_slots(instant now) const
{
    bool const settled = this->pending_reports == 0 || now >= this->settled_at;
    return this->owns_slots(now) && settled;
}

bool slot_owner::owns_slots(instant now) const
{
    return this->epoch > 0 && now < this->owner_until;
}

void slot_owner::on(slot_requested const& event, instant now)
{
    this->table.renew(event.host, now + this->settings.grant_lifetime);
    waiting_request request;
    request.ticket = event.ticket;
    request.flow = event.flow;
    request.arrived = now;
    request.deadline = now + event.time_left;
    request.length = event.length;
    request.host = event.host;
    request.moved = event.moved;
    // A flow with a backlog does not move requests. Otherwise the burst of one
    // caller would move from every zone to the one with free capacity and fill
    // that as well.
    request.may_move =
        !event.moved && this->queue.brief_waiting_of(event.flow) == 0;

    if (!this->owns_slots(now))
    {
        this->refuse_request(request,
                             refuse{refusal_reason::owner_changed, {}});
        return;
    }

    // Other zones are tried first: a request that moves at once has not lost
    // any time yet.
    if (request.may_move && request.length == work_length::brief)
    {
        std::optional<std::uint32_t> const zone = this->better_zone(
            this->expected_wait(event.flow, now), event.time_left, now);
        if (zone.has_value())
        {
            this->move(request, *zone);
            return;
        }
    }

    slot_pool pool = this->table.pool();
    pool.free = this->grants_slots(now) ? pool.free : 0;
    admission_verdict const verdict = this->queue.offer(request, pool, now);
    if (std::holds_alternative<admit>(verdict))
    {
        bool const granted = this->try_grant(request, now);
        assert(granted);
        static_cast<void>(granted);
    }
    else if (std::holds_alternative<refuse>(verdict))
    {
        this->refuse_request(request, std::get<refuse>(verdict));
    }
}

void slot_owner::on(slot_released const& event, instant now)
{
    this->table.renew(event.host, now + this->settings.grant_lifetime);
    this->table.release(event.grant, event.service_time, now);
}

void slot_owner::on(slot_request_cancelled const& event, instant /*now*/)
{
    this->queue.cancel(event.ticket);
}

void slot_owner::on(heartbeat_received const& event, instant now)
{
    this->table.renew(event.host, now + this->settings.grant_lifetime);
}

void slot_owner::on(ownership_started const& event, instant now)
{
    assert(event.epoch > this->epoch);
    this->epoch = event.epoch;
    this->table.start_epoch(event.epoch);
    this->owner_until = event.until;
    this->settled_at = now + event.settling_time;
    this->pending_reports = event.hosts_to_report;
}

void slot_owner::on(ownership_renewed const& event, instant now)
{
    // An expired lease is not renewed: another owner may have granted slots
    // since. Ownership then needs a new epoch.
    if (now < this->owner_until)
    {
        this->owner_until = std::max(this->owner_until, event.until);
    }
}

void slot_owner::on(grant_reported const& event, instant now)
{
    if (event.held.id != 0)
    {
        slot_grant held = event.held;
        held.expires = now + this->settings.grant_lifetime;
        held.slot_was_free = false;
        this->table.adopt(held, now);
    }
    if (event.complete && this->pending_reports > 0)
    {
        --this->pending_reports;
    }
}

void slot_owner::on(zone_load_reported const& event, instant now)
{
    nearby_zone& zone = this->zones.at(event.zone);
    zone.usable_slots = event.usable;
    zone.expected_wait = event.expected_wait;
    zone.reported_at = now;
    zone.moved_since_report = 0;
    this->move_waiting(now);
}

void slot_owner::on(usable_slots_changed const& event, instant /*now*/)
{
    this->table.set_usable(event.upstream, event.usable);
}

void slot_owner::on(time_passed const& /*event*/, instant now)
{
    this->move_waiting(now);
}

duration slot_owner::expected_wait(std::uint32_t flow, instant now) const
{
    slot_pool pool = this->table.pool();
    if (pool.usable == 0)
    {
        return this->settings.admission.max_burst_wait;
    }
    if (this->table.free_slots() > 0 && this->queue.brief_waiting() == 0)
    {
        return duration{};
    }
    // Requests sent in advance wait as well, at their upstreams.
    pool.free = 0;
    return wait_behind(this->table.sent_in_advance(), pool.brief_time,
                       pool.usable) +
           this->queue.expected_wait(flow, pool, now);
}

std::optional<std::uint32_t> slot_owner::better_zone(duration wait_here,
                                                     duration time_left,
                                                     instant now) const
{
    if (!this->settings.allow_moves)
    {
        return std::nullopt;
    }
    std::optional<std::uint32_t> best;
    duration shortest = wait_here - this->settings.move_margin;
    for (std::uint32_t index = 0; index < this->zones.size(); ++index)
    {
        nearby_zone const& zone = this->zones[index];
        bool const has_recent_load =
            zone.usable_slots > 0 &&
            now - zone.reported_at < this->settings.load_lifetime;
        if (!has_recent_load)
        {
            continue;
        }
        // Requests moved there since its report wait before this one.
        duration const wait_there =
            2 * zone.one_way_latency + zone.expected_wait +
            wait_behind(zone.moved_since_report, this->table.mean_time(),
                        zone.usable_slots);
        // A distant zone is used only if it has free capacity: its report is
        // old, and when all zones fill up together, each would take the other
        // for the better one.
        bool const distant = 2 * zone.one_way_latency > this->table.mean_time();
        if (distant && wait_there - 2 * zone.one_way_latency >
                           this->settings.max_distant_wait)
        {
            continue;
        }
        if (wait_there < shortest && wait_there < time_left)
        {
            best = index;
            shortest = wait_there;
        }
    }
    return best;
}

bool slot_owner::try_grant(waiting_request const& request, instant now)
{
    std::optional<std::uint32_t> const upstream = this->table.pick(
        this->expected_wait(request.flow, now), request.deadline - now, now);
    if (!upstream.has_value())
    {
        return false;
    }
    slot_grant const& granted =
        this->table.grant(*upstream, request.host, request.length,
                          now + this->settings.grant_lifetime, now);
    this->effects.push_back(slot_granted{request.host, request.ticket,
                                         *upstream, granted.id, this->epoch,
                                         this->settings.grant_lifetime});
    return true;
}

void slot_owner::grant_waiting(instant now)
{
    if (!this->grants_slots(now))
    {
        return;
    }
    while (this->queue.size() > 0)
    {
        // pool() counts only slots of fast upstreams as free, but the request
        // that has waited longest may also gain from a slow upstream's slot.
        slot_pool pool = this->table.pool();
        pool.free = std::max(pool.free, 1U);
        waiting_request const* const request = this->queue.peek(pool);
        if (request == nullptr || !this->try_grant(*request, now))
        {
            return;
        }
        this->queue.pop(pool, now);
    }
}

void slot_owner::refuse_expired(instant now)
{
    slot_pool const pool = this->table.pool();
    for (std::optional<waiting_request> expired =
             this->queue.pop_expired(pool, now);
         expired.has_value(); expired = this->queue.pop_expired(pool, now))
    {
        this->refuse_request(*expired,
                             refuse{refusal_reason::deadline_passed,
                                    this->expected_wait(expired->flow, now)});
    }
}

void slot_owner::refuse_all_waiting()
{
    for (std::optional<waiting_request> request = this->queue.pop_any();
         request.has_value(); request = this->queue.pop_any())
    {
        this->refuse_request(*request,
                             refuse{refusal_reason::owner_changed, {}});
    }
}

void slot_owner::move_waiting(instant now)
{
    while (this->queue.brief_waiting() > 0)
    {
        // The last request gains most from a move; if it gains nothing, none
        // does.
        std::optional<std::uint32_t> const zone =
            this->better_zone(this->expected_wait(0, now),
                              this->settings.admission.max_burst_wait, now);
        if (!zone.has_value())
        {
            return;
        }
        std::optional<waiting_request> const request =
            this->queue.pop_last_movable();
        if (!request.has_value())
        {
            return;
        }
        this->move(*request, *zone);
    }
}

void slot_owner::move(waiting_request const& request, std::uint32_t zone)
{
    ++this->zones[zone].moved_since_report;
    this->effects.push_back(request_moved{request.host, request.ticket, zone});
}

void slot_owner::refuse_request(waiting_request const& request,
                                refuse const& refusal)
{
    this->effects.push_back(
        slot_refused{request.host, request.ticket, refusal});
}

} // namespace bilberrylead::policy
