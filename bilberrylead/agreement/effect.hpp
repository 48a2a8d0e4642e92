#ifndef BILBERRYLEAD_AGREEMENT_EFFECT_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECT_HPP

#include "bilberrylead/agreement/effects/append_entries.hpp"
#include "bilberrylead/agreement/effects/apply.hpp"
#include "bilberrylead/agreement/effects/drop_log_prefix.hpp"
#include "bilberrylead/agreement/effects/persist_hard_state.hpp"
#include "bilberrylead/agreement/effects/persist_snapshot.hpp"
#include "bilberrylead/agreement/effects/proposal_accepted.hpp"
#include "bilberrylead/agreement/effects/proposal_outcome_unknown.hpp"
#include "bilberrylead/agreement/effects/proposal_refused.hpp"
#include "bilberrylead/agreement/effects/read_ready.hpp"
#include "bilberrylead/agreement/effects/read_refused.hpp"
#include "bilberrylead/agreement/effects/restore.hpp"
#include "bilberrylead/agreement/effects/role_changed.hpp"
#include "bilberrylead/agreement/effects/send.hpp"
#include "bilberrylead/agreement/effects/sync.hpp"
#include "bilberrylead/agreement/effects/take_snapshot.hpp"

#include <variant>

namespace bilberrylead::agreement
{

/// An action that the replica requests from its host program. Effects are
/// executed strictly in order, those of one call after those of the previous
/// call.
using effect =
    std::variant<persist_hard_state, append_entries, persist_snapshot,
                 drop_log_prefix, sync, send, apply, restore, proposal_accepted,
                 proposal_refused, proposal_outcome_unknown, read_ready,
                 read_refused, role_changed, take_snapshot>;

} // namespace bilberrylead::agreement

#endif
