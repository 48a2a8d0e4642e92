#ifndef BILBERRYLEAD_ONCE_CLAIM_VERDICT_HPP
#define BILBERRYLEAD_ONCE_CLAIM_VERDICT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/recorded_answer.hpp"

#include <variant>

namespace bilberrylead::once
{

/// The request holds the claim and may be forwarded once.
struct claim_granted
{
};

/// Another request holds the claim and may still be running.
struct claim_in_progress
{
};

/// The work ran and its answer is kept.
struct claim_recorded
{
    /// The answer of that run.
    recorded_answer answer;
};

/// The work may have run; its answer is not available.
struct claim_outcome_unknown
{
};

/// The key was used before with a different body.
struct claim_mismatch
{
};

/// Why a claim was refused.
enum class claim_refusal
{
    /// No quorum of the control hosts decided the claim in time.
    no_quorum,
    /// The maximum number of records, hosts or open claims is reached.
    no_room,
    /// The caller holds the maximum number of records per caller.
    caller_share,
    /// The entry host has registered a newer incarnation.
    superseded_host,
    /// The key or a name is longer than once_settings::max_name_bytes.
    key_too_long,
    /// The same request has abandoned the work: it released its claim, or was
    /// answered that another request holds it.
    abandoned,
};

/// The claim is refused; the work must not run.
struct claim_refused
{
    /// The reason.
    claim_refusal reason = claim_refusal::no_quorum;
    /// Time until capacity may be free again; 0 if unknown.
    duration retry_after{};
};

/// A control host's reply to a claim.
using claim_verdict =
    std::variant<claim_granted, claim_in_progress, claim_recorded,
                 claim_outcome_unknown, claim_mismatch, claim_refused>;

} // namespace bilberrylead::once

#endif
