#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_RESTORE_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_RESTORE_HPP

#include "bilberrylead/agreement/snapshot.hpp"

namespace bilberrylead::agreement
{

/// Replace the state machine's state by the snapshot's. The next entry applied
/// is snapshot.last_index + 1.
struct restore
{
    /// The complete state.
    agreement::snapshot snapshot;
};

} // namespace bilberrylead::agreement

#endif
