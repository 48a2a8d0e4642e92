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

/// The bounded wait in front of the slots.
///
/// Load it answers: bursts and saturation. Without a bound the queue grows
/// as long as the overload lasts, every answer comes after its deadline, and
/// the slots are busy with work that nobody waits for any more. The bound is
/// a time, not a length: a request waits only if its expected wait plus the
/// time that nearly every request takes still ends before its deadline.
/// Everything else is refused at once with the time after which the queue
/// will have room, so that its caller can go elsewhere while there is time.
/// All memory is taken at construction.
class admission_queue
{
public:
    /// Makes an empty queue.
    explicit admission_queue(admission_queue_settings const& settings = {});

    /// Decides what becomes of a request; after `wait` it waits here.
    admission_verdict offer(waiting_request const& request,
                            slot_pool const& pool, instant now);

    /// The request that a free slot goes to, or nullptr if none may have it.
    waiting_request const* peek(slot_pool const& pool) const;

    /// Takes out the request that peek names. Call again until it gives
    /// nothing.
    std::optional<waiting_request> pop(slot_pool const& pool, instant now);

    /// Takes out a request that can no longer make its deadline; its caller
    /// hears "not run" now. Call after every event until it gives nothing.
    std::optional<waiting_request> pop_expired(slot_pool const& pool,
                                               instant now);

    /// Takes out any request, for an owner that cannot serve them any more.
    std::optional<waiting_request> pop_any();

    /// The caller went away; false if the request does not wait here.
    bool cancel(std::uint64_t ticket);

    /// Takes out the brief request that gains most from running elsewhere:
    /// the last one that may move.
    std::optional<waiting_request> pop_last_movable()
    {
        return this->brief.pop_last_movable();
    }

    /// Requests that wait.
    std::size_t size() const
    {
        return this->brief.size() + this->extended.size();
    }

    /// Brief requests that wait of the flow's row.
    std::uint32_t brief_waiting_of(std::uint32_t flow) const
    {
        return this->brief.size_of(flow);
    }

    /// Brief requests that wait.
    std::size_t brief_waiting() const
    {
        return this->brief.size();
    }

    /// Expected wait of a brief request of the flow that came in now.
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
    /// When the queue of brief requests was last seen empty.
    std::optional<instant> last_empty;
};

} // namespace bilberrylead::policy

#endif
