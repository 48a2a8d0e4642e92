#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PERSIST_SNAPSHOT_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PERSIST_SNAPSHOT_HPP

#include "bilberrylead/agreement/snapshot.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// Write a snapshot; durable with the next sync, in place of older ones.
struct persist_snapshot
{
    /// What to write.
    agreement::snapshot snapshot;
    /// True if the whole log goes with it (it came from the leader and the
    /// log did not reach it): the next entry is snapshot.last_index + 1.
    bool discard_log = false;
};

} // namespace bilberrylead::agreement

#endif
