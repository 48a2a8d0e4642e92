#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PERSIST_SNAPSHOT_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PERSIST_SNAPSHOT_HPP

#include "bilberrylead/agreement/snapshot.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// Write a snapshot; durable with the next sync. It replaces older snapshots.
struct persist_snapshot
{
    /// The snapshot to write.
    agreement::snapshot snapshot;
    /// True if the complete log is discarded with it (the snapshot came from
    /// the leader and the log did not match at its last entry): the next entry
    /// is snapshot.last_index + 1.
    bool discard_log = false;
};

} // namespace bilberrylead::agreement

#endif
