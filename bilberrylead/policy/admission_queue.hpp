#ifndef BILBERRYLEAD_POLICY_ADMISSION_QUEUE_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_QUEUE_HPP

#include "bilberrylead/policy/admission_queue_settings.hpp"
#include "bilberrylead/policy/admission_verdict.hpp"
#include "bilberrylead/policy/fair_queue.hpp"
#include "bilberrylead/policy/long_work_limit.hpp"
#include "bilberrylead/policy/slot_pool.hpp"
#include "bilberrylead/policy/waiting_request.hpp"

#include <cstdint>
#include <optional>

namespace bilberrylead::policy
{

/// Bounded queue of the requests that wait for a slot.
///
/// Protects against bursts and saturation. Without a bound the queue grows
/// as long as the overload lasts, every answer comes after its deadline, and
/// the slots are busy with work whose callers have stopped waiting. The bound
/// is a time, not a length: a request waits only if its expected wait plus
/// the time within which nearly every request completes ends before its
/// deadline. Any other request is refused at once with the time after which
/// the queue will have free capacity, so that its caller can go elsewhere in
/// time. All memory is allocated at construction.
class admission_queue
{
public:
    /// Creates an empty queue.
    explicit admission_queue(admission_queue_settings const& settings = {});

    /// Admits, queues or refuses a request. It is in the queue only if the
    /// verdict is `wait`.
    admission_verdict offer(waiting_request const& request,
                            slot_pool const& pool, instant now);

    /// The request that gets the next free slot, or nullptr if no request
    /// may have it.
    waiting_request const* peek(slot_pool const& pool) const;

    /// Removes and returns the request that peek returns. Call it until it
    /// returns nothing.
    std::optional<waiting_request> pop(slot_pool const& pool, instant now);

    /// Removes and returns a request that can no longer meet its deadline;
    /// its caller is to be told "not run" now. Call it after every event
    /// until it returns nothing.
    std::optional<waiting_request> pop_expired(slot_pool const& pool,
                                               instant now);

    /// Removes and returns any request, for an owner that can no longer
    /// serve them.
    std::optional<waiting_request> pop_any();

    /// Removes a request whose caller disconnected; false if it is not in the
    /// queue.
    bool cancel(std::uint64_t ticket);

    /// Removes and returns the brief request that gains most from running in
    /// another zone: the last one that may move.
    std::optional<waiting_request> pop_last_movable()
    {
        return this->brief.pop_last_movable();
    }

    /// Number of waiting requests.
    std::size_t size() const
    {
        return this->brief.size() + this->extended.size();
    }

    /// Number of waiting brief requests in the flow's bucket.
    std::uint32_t brief_waiting_of(std::uint32_t flow) const
    {
        return this->brief.size_of(flow);
    }

    /// Number of waiting brief requests.
    std::size_t brief_waiting() const
    {
        return this->brief.size();
    }

    /// Expected wait of a brief request of the flow that arrives now.
    duration expected_wait(std::uint32_t flow, slot_pool const& pool,
                           instant now) const;

private:
    admission_verdict offer_brief(waiting_request const& request,
                                  slot_pool const& pool, instant now);
    admission_verdict offer_long(waiting_request const& request,
                                 slot_pool const& pool, instant now);
    duration max_wait(instant now) const;
    refuse refusal(refusal_reason reason, duration excess_wait) const;
    bool may_start(config::work_length length, slot_pool const& pool) const;
    bool long_is_next(slot_pool const& pool) const;
    void update_last_empty(instant now);

    admission_queue_settings settings;
    long_work_limit limit;
    fair_queue brief;
    fair_queue extended;
    /// When the queue of brief requests was last seen empty; unset until the
    /// first event.
    std::optional<instant> last_empty;
};

} // namespace bilberrylead::policy

#endif
