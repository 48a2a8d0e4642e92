#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_APPLY_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_APPLY_HPP

#include "bilberrylead/agreement/log_entry.hpp"

namespace bilberrylead::agreement
{

/// Apply a committed entry to the state machine. Each entry is applied once, in
/// order of index, since the last start or restore. The state machine ignores
/// kinds other than command.
struct apply
{
    /// The entry.
    log_entry entry;
};

} // namespace bilberrylead::agreement

#endif
