#include "bilberrylead/policy/admission_queue.hpp"

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
    assert(slots > 0);
    return duration(hold_time.count() * static_cast<std::int64_t>(requests) /
                    slots);
}

/// Mean time between two slots of the pool that come free for brief work.
duration slot_interval(slot_pool const& pool)
{
    // Long work holds its slots too long for them to count here.
    std::uint32_t const turning =
        pool.usable - std::min(pool.usable, pool.long_held);
    return pool.brief_time / std::max(1U, turning);
}

} // namespace

admission_queue::admission_queue(admission_queue_settings const& settings)
    : settings(settings), limit(settings.long_work), brief(settings.queue),
      extended(settings.queue)
{
    assert(settings.max_standing_wait <= settings.max_burst_wait);
}

admission_verdict admission_queue::offer(waiting_request const& request,
                                         slot_pool const& pool, instant now)
{
    this->update_last_empty(now);
    if (pool.usable == 0)
    {
        return refuse{refusal_reason::no_upstream,
                      this->settings.standing_after};
    }
    return request.length == work_length::brief
               ? this->offer_brief(request, pool, now)
               : this->offer_long(request, pool, now);
}

admission_verdict admission_queue::offer_brief(waiting_request const& request,
                                               slot_pool const& pool,
                                               instant now)
{
    if (pool.free > 0 && this->brief.size() == 0)
    {
        return admit{};
    }
    duration const expected = this->expected_wait(request.flow, pool, now);
    if (this->settings.bounded)
    {
        // The wait is bounded by the deadline and by the maximum wait.
        duration const time_left = request.deadline - now - pool.brief_reserve;
        // A moved request was admitted in the zone it came from. Refusing it
        // here would inform its caller late, so only its deadline counts.
        duration const allowed_wait =
            request.moved ? time_left
                          : std::min(time_left, this->max_wait(now));
        if (expected > allowed_wait)
        {
            return this->refusal(refusal_reason::wait_too_long,
                                 expected - allowed_wait);
        }

        // Each flow may use a share of the bound. Without it the backlog of
        // one heavy caller fills the bound and other callers are refused.
        std::uint32_t const sharers = this->brief.flows_waiting() + 1;
        std::int64_t const bound =
            allowed_wait.count() * pool.usable / pool.brief_time.count();
        std::int64_t const share =
            std::max(std::int64_t{this->settings.min_share},
                     bound / (std::int64_t{2} * sharers));
        if (this->settings.queue.by_flow &&
            this->brief.size_of(request.flow) >= share)
        {
            return this->refusal(refusal_reason::caller_over_share, expected);
        }
    }
    if (!this->brief.push(request, slot_interval(pool)))
    {
        return this->refusal(refusal_reason::queue_full, expected);
    }
    return wait{expected};
}

admission_verdict admission_queue::offer_long(waiting_request const& request,
                                              slot_pool const& pool,
                                              instant now)
{
    if (pool.free > 0 && this->size() == 0 &&
        this->may_start(work_length::extended, pool))
    {
        return admit{};
    }
    std::uint32_t const slots =
        this->limit.max_slots(pool.usable, pool.brief_average);
    duration const expected =
        wait_behind(this->extended.size() + 1, pool.long_time, slots);
    duration const allowed_wait =
        std::min(request.deadline - now - pool.long_time,
                 this->settings.max_long_wait + pool.long_time);
    if (this->settings.bounded && expected > allowed_wait)
    {
        return this->refusal(refusal_reason::wait_too_long,
                             expected - allowed_wait);
    }
    if (!this->extended.push(request, pool.long_time / slots))
    {
        return this->refusal(refusal_reason::queue_full, expected);
    }
    return wait{expected};
}

bool admission_queue::long_is_next(slot_pool const& pool) const
{
    waiting_request const* const brief_next = this->brief.peek();
    waiting_request const* const long_next =
        this->may_start(work_length::extended, pool) ? this->extended.peek()
                                                     : nullptr;
    // The older of the two heads is next: long work below its limit is
    // neither starved by a stream of look-ups nor served before them.
    return long_next != nullptr &&
           (brief_next == nullptr || long_next->arrived < brief_next->arrived);
}

waiting_request const* admission_queue::peek(slot_pool const& pool) const
{
    if (pool.free == 0)
    {
        return nullptr;
    }
    return this->long_is_next(pool) ? this->extended.peek()
                                    : this->brief.peek();
}

std::optional<waiting_request> admission_queue::pop(slot_pool const& pool,
                                                    instant now)
{
    if (pool.free == 0)
    {
        return std::nullopt;
    }
    std::optional<waiting_request> request =
        this->long_is_next(pool) ? this->extended.pop() : this->brief.pop();
    this->update_last_empty(now);
    return request;
}

std::optional<waiting_request>
admission_queue::pop_expired(slot_pool const& pool, instant now)
{
    if (!this->settings.bounded)
    {
        return std::nullopt;
    }
    std::optional<waiting_request> expired =
        this->brief.pop_expired(now + pool.brief_reserve);
    if (!expired.has_value())
    {
        expired = this->extended.pop_expired(now + pool.long_time);
    }
    return expired;
}

std::optional<waiting_request> admission_queue::pop_any()
{
    std::optional<waiting_request> request = this->brief.pop();
    return request.has_value() ? request : this->extended.pop();
}

bool admission_queue::cancel(std::uint64_t ticket)
{
    return this->brief.remove(ticket) || this->extended.remove(ticket);
}

duration admission_queue::expected_wait(std::uint32_t flow,
                                        slot_pool const& pool,
                                        instant now) const
{
    if (pool.usable == 0)
    {
        return this->settings.max_burst_wait;
    }
    if (pool.free > 0 && this->brief.size() == 0)
    {
        return duration{};
    }
    duration const interval = slot_interval(pool);
    std::size_t const ahead = this->brief.count_ahead_of(flow, now, interval);
    return interval * (static_cast<std::int64_t>(ahead) + 1);
}

duration admission_queue::max_wait(instant now) const
{
    bool const standing =
        this->last_empty.has_value() &&
        now - *this->last_empty > this->settings.standing_after;
    return standing ? this->settings.max_standing_wait
                    : this->settings.max_burst_wait;
}

refuse admission_queue::refusal(refusal_reason reason,
                                duration excess_wait) const
{
    return refuse{reason,
                  std::max(excess_wait, this->settings.min_retry_after)};
}

bool admission_queue::may_start(config::work_length length,
                                slot_pool const& pool) const
{
    return this->limit.allows(length, pool.usable, pool.long_held,
                              pool.brief_average);
}

void admission_queue::update_last_empty(instant now)
{
    if (this->brief.size() == 0 || !this->last_empty.has_value())
    {
        this->last_empty = now;
    }
}

} // namespace bilberrylead::policy
