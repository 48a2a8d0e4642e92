#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PERSIST_HARD_STATE_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PERSIST_HARD_STATE_HPP

#include "bilberrylead/agreement/hard_state.hpp"

namespace bilberrylead::agreement
{

/// Write term, vote and commit index; durable with the next sync.
struct persist_hard_state
{
    /// Replaces the state written before.
    agreement::hard_state state;
};

} // namespace bilberrylead::agreement

#endif
