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
    /// It would wait beyond its deadline, or beyond the longest wait.
    wait_too_long,
    /// Its caller has its share of the queue already.
    caller_over_share,
    /// The queue is full.
    queue_full,
    /// No upstream takes work.
    no_upstream,
    /// It waited, and can no longer make its deadline.
    deadline_passed,
    /// The host that was asked does not own the slots any more; ask the one
    /// that does.
    owner_changed,
    /// Its region's headroom is used up.
    no_headroom,
};

/// Run it now: a slot is free and nobody waits for it.
struct admit
{
};

/// It waits; take it with admission_queue::next when a slot comes free.
struct wait
{
    /// Expected time until it gets a slot.
    duration expected{};
};

/// It is not run. Tell its caller so at once.
struct refuse
{
    /// Why.
    refusal_reason reason = refusal_reason::wait_too_long;
    /// After what time the caller does well to come back.
    duration retry_after{};
};

/// What becomes of a request.
using admission_verdict = std::variant<admit, wait, refuse>;

} // namespace bilberrylead::policy

#endif
