#ifndef BILBERRYLEAD_POLICY_ADMISSION_VERDICT_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_VERDICT_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <variant>

namespace bilberrylead::policy
{

/// Why a request is not run.
enum class refusal_reason : std::uint8_t
{
    /// It would wait beyond its deadline or beyond the maximum wait.
    wait_too_long,
    /// Its caller already uses its share of the queue.
    caller_over_share,
    /// The queue is full.
    queue_full,
    /// No upstream accepts work.
    no_upstream,
    /// It waited and can no longer meet its deadline.
    deadline_passed,
    /// The receiving host no longer owns the slots; send the request to the
    /// current owner.
    owner_changed,
    /// Its region's headroom is used up.
    no_headroom,
};

/// The request runs now: a slot is free and no other request waits for it.
struct admit
{
};

/// The request waits; admission_queue::pop returns it when a slot comes free.
struct wait
{
    /// Expected time until it gets a slot.
    duration expected{};
};

/// The request is not run. Inform its caller at once.
struct refuse
{
    /// Why it is not run.
    refusal_reason reason = refusal_reason::wait_too_long;
    /// Time after which a retry by the caller is worthwhile.
    duration retry_after{};
};

/// Decision about a request.
using admission_verdict = std::variant<admit, wait, refuse>;

} // namespace bilberrylead::policy

#endif
