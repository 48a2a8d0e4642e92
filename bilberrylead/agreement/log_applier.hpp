#ifndef BILBERRYLEAD_AGREEMENT_LOG_APPLIER_HPP
#define BILBERRYLEAD_AGREEMENT_LOG_APPLIER_HPP

#include "bilberrylead/agreement/events/snapshot_taken.hpp"
#include "bilberrylead/agreement/pending_proposals.hpp"
#include "bilberrylead/agreement/replica_core.hpp"

#include <cstdint>
#include <memory>

namespace bilberrylead::agreement
{

/// Takes committed entries to the state machine and snapshots from it.
class log_applier
{
public:
    /// Works on the replica's shared state.
    log_applier(replica_core& shared, pending_proposals& waiting);

    /// Raises the commit index, if it is behind, and applies.
    void commit_through(std::uint64_t index);

    /// Replaces state and log by a snapshot from the leader.
    void install(std::shared_ptr<snapshot const> const& received);

    /// Keeps a snapshot of the own state machine. The log is kept from
    /// `needed_index` on, as far as the bounds allow.
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
