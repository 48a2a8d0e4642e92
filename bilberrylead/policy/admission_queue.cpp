#include "bilberrylead/policy/admission_queue.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

namespace
{

using config::work_length;

/// Time until `turns` requests that hold a slot for `held` have started.
duration turns_time(std::size_t turns, duration held, std::uint32_t slots)
{
    assert(slots > 0);
    return duration(held.count() * static_cast<std::int64_t>(turns) / slots);
}

/// Time between two slots of the pool that come free for brief work.
duration turn_time(slot_pool const& pool)
{
    // Slots that long work holds do not turn over in time to count.
    std::uint32_t const turning =
        pool.usable - std::min(pool.usable, pool.long_held);
    return pool.brief_time / std::max(1U, turning);
}

} // namespace

admission_queue::admission_queue(admission_queue_settings const& settings)
    : settings(settings), limit(settings.long_work), brief(settings.queue),
      extended(settings.queue)
{
    assert(settings.standing_wait <= settings.burst_wait);
}

admission_verdict admission_queue::offer(waiting_request const& request,
                                         slot_pool const& pool, instant now)
{
    this->note_length(now);
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
        // The wait that the deadline leaves, and the wait that is any good.
        duration const left = request.deadline - now - pool.brief_reserve;
        // A moved request was let in where it came from; refusing it now
        // would tell its caller late.
        duration const longest =
            request.moved ? left : std::min(left, this->longest_wait(now));
        if (expected > longest)
        {
            return this->refusal(refusal_reason::wait_too_long,
                                 expected - longest);
        }

        // A flow's share of the bound. Without it a heavy caller's backlog
        // fills the bound, and others are refused for its sake.
        std::uint32_t const sharers = this->brief.flows_waiting() + 1;
        std::int64_t const bound =
            longest.count() * pool.usable / pool.brief_time.count();
        std::int64_t const share =
            std::max(std::int64_t{this->settings.least_share},
                     bound / (std::int64_t{2} * sharers));
        if (this->settings.queue.by_flow &&
            this->brief.size_of(request.flow) >= share)
        {
            return this->refusal(refusal_reason::caller_over_share, expected);
        }
    }
    if (!this->brief.push(request, turn_time(pool)))
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
        this->limit.most(pool.usable, pool.brief_average);
    duration const expected =
        turns_time(this->extended.size() + 1, pool.long_time, slots);
    duration const longest =
        std::min(request.deadline - now - pool.long_time,
                 this->settings.long_wait + pool.long_time);
    if (this->settings.bounded && expected > longest)
    {
        return this->refusal(refusal_reason::wait_too_long, expected - longest);
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
    // Of the two heads the older one: long work below its limit is neither
    // put off by a stream of look-ups nor put before them.
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

std::optional<waiting_request> admission_queue::next(slot_pool const& pool,
                                                     instant now)
{
    if (pool.free == 0)
    {
        return std::nullopt;
    }
    std::optional<waiting_request> taken =
        this->long_is_next(pool) ? this->extended.pop() : this->brief.pop();
    this->note_length(now);
    return taken;
}

std::optional<waiting_request>
admission_queue::next_expired(slot_pool const& pool, instant now)
{
    if (!this->settings.bounded)
    {
        return std::nullopt;
    }
    std::optional<waiting_request> late =
        this->brief.pop_late(now + pool.brief_reserve);
    if (!late.has_value())
    {
        late = this->extended.pop_late(now + pool.long_time);
    }
    return late;
}

std::optional<waiting_request> admission_queue::next_to_give_up()
{
    std::optional<waiting_request> any = this->brief.pop();
    return any.has_value() ? any : this->extended.pop();
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
        return this->settings.burst_wait;
    }
    if (pool.free > 0 && this->brief.size() == 0)
    {
        return duration{};
    }
    duration const turn = turn_time(pool);
    std::size_t const ahead = this->brief.ahead_of(flow, now, turn);
    return turn * (static_cast<std::int64_t>(ahead) + 1);
}

duration admission_queue::longest_wait(instant now) const
{
    // last_empty is unset only until the first event.
    bool const standing =
        this->last_empty.has_value() &&
        now - *this->last_empty > this->settings.standing_after;
    return standing ? this->settings.standing_wait : this->settings.burst_wait;
}

refuse admission_queue::refusal(refusal_reason reason, duration too_long) const
{
    return refuse{reason, std::max(too_long, this->settings.least_retry_after)};
}

bool admission_queue::may_start(config::work_length length,
                                slot_pool const& pool) const
{
    return this->limit.allows(length, pool.usable, pool.long_held,
                              pool.brief_average);
}

void admission_queue::note_length(instant now)
{
    if (this->brief.size() == 0 || !this->last_empty.has_value())
    {
        this->last_empty = now;
    }
}

} // namespace bilberrylead::policy
