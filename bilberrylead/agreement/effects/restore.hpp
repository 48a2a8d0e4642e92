#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_RESTORE_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_RESTORE_HPP

#include "bilberrylead/agreement/snapshot.hpp"

namespace bilberrylead::agreement
{

/// Replace the state machine's state by the snapshot's. apply goes on
/// after its index.
struct restore
{
    /// The whole state.
    agreement::snapshot snapshot;
};

} // namespace bilberrylead::agreement

#endif
