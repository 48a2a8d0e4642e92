#ifndef BILBERRYLEAD_ONCE_CLAIM_VERDICT_HPP
#define BILBERRYLEAD_ONCE_CLAIM_VERDICT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/recorded_answer.hpp"

#include <variant>

namespace bilberrylead::once
{

/// The claim is this request's: forward it, once.
struct claim_granted
{
};

/// Another request holds the claim and may still be running.
struct claim_in_progress
{
};

/// The work ran; this is what it answered.
struct claim_recorded
{
    /// The first run's answer.
    recorded_answer answer;
};

/// The work may have run, and nobody can say what it answered.
struct claim_outcome_unknown
{
};

/// The key was used before with another body.
struct claim_mismatch
{
};

/// Why a claim was refused.
enum class claim_refusal
{
    /// No quorum could be asked in time.
    no_quorum,
    /// There is no room for another record.
    no_room,
    /// The caller holds its share of the records.
    caller_share,
    /// The entry host has registered a newer incarnation since.
    superseded_host,
    /// The key or a name is longer than is kept.
    key_too_long,
    /// This same request released its claim before: it was given up.
    abandoned,
};

/// Nothing was claimed, nothing runs.
struct claim_refused
{
    /// Why.
    claim_refusal reason = claim_refusal::no_quorum;
    /// When room may be there again, 0 if nobody knows.
    duration retry_after{};
};

/// What a control host says to a claim.
using claim_verdict =
    std::variant<claim_granted, claim_in_progress, claim_recorded,
                 claim_outcome_unknown, claim_mismatch, claim_refused>;

} // namespace bilberrylead::once

#endif
