#ifndef BILBERRYLEAD_AGREEMENT_HARD_STATE_HPP
#define BILBERRYLEAD_AGREEMENT_HARD_STATE_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// What must be durable before a replica answers anything of a term.
struct hard_state
{
    /// Latest term the replica has seen; never goes back.
    std::uint64_t term = 0;
    /// Whom it voted for in that term; empty if for nobody.
    host_id voted_for;
    /// An index up to which the log was known to be committed: a hint that
    /// may be behind, never ahead. A host that comes back applies the log up
    /// to there without waiting for a leader.
    std::uint64_t committed = 0;

    friend bool operator==(hard_state const&, hard_state const&) = default;
};

} // namespace bilberrylead::agreement

#endif
