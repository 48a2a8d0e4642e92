#ifndef BILBERRYLEAD_AGREEMENT_LOG_APPLIER_HPP
#define BILBERRYLEAD_AGREEMENT_LOG_APPLIER_HPP

#include "bilberrylead/agreement/events/snapshot_taken.hpp"
#include "bilberrylead/agreement/pending_proposals.hpp"
#include "bilberrylead/agreement/replica_core.hpp"

#include <cstdint>
#include <memory>

namespace bilberrylead::agreement
{

/// Passes committed entries to the state machine and manages snapshots.
class log_applier
{
public:
    /// Keeps references to both; they must outlive this object.
    log_applier(replica_core& shared, pending_proposals& waiting);

    /// Advances the commit index to `index`, if it is behind, and emits apply
    /// effects for the newly committed entries.
    void commit_through(std::uint64_t index);

    /// Replaces the state machine's state, and the log where it does not match,
    /// by a snapshot received from the leader.
    void install(std::shared_ptr<snapshot const> const& received);

    /// Stores a snapshot of the local state machine and drops the log prefix it
    /// covers. Entries from `needed_index` on are retained, within the
    /// configured limits.
    void on_snapshot_taken(snapshot_taken const& taken,
                           std::uint64_t needed_index);

private:
    void request_snapshot_if_due();

    replica_core& core;
    pending_proposals& proposals;
    bool snapshot_requested = false;
    std::uint64_t snapshot_requested_at_index = 0;
};

} // namespace bilberrylead::agreement

#endif
