#ifndef BILBERRYLEAD_AGREEMENT_HARD_STATE_HPP
#define BILBERRYLEAD_AGREEMENT_HARD_STATE_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// State that must be durable before a replica answers any message of its term.
struct hard_state
{
    /// Latest term the replica has seen; never decreases.
    std::uint64_t term = 0;
    /// Candidate it voted for in that term; empty if it has not voted.
    host_id voted_for;
    /// An index up to which the log was committed when this was written. May be
    /// behind the real commit index, never ahead. A restarted host applies the
    /// log up to here without waiting for a leader.
    std::uint64_t committed = 0;

    friend bool operator==(hard_state const&, hard_state const&) = default;
};

} // namespace bilberrylead::agreement

#endif
