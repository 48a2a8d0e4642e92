#ifndef BILBERRYLEAD_AGREEMENT_LOG_APPLIER_HPP
#define BILBERRYLEAD_AGREEMENT_LOG_APPLIER_HPP

#include "bilberrylead/agreement/events/snapshot_taken.hpp"
#include "bilberrylead/agreement/open_proposals.hpp"
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
    log_applier(replica_core& shared, open_proposals& waiting);

    /// Raises the commit index, if it is behind, and applies.
    void commit_through(std::uint64_t index);

    /// Replaces state and log by a snapshot from the leader.
    void install(std::shared_ptr<snapshot const> const& received);

    /// Keeps a snapshot of the own state machine. The log is kept from
    /// `needed_index` on, as far as the bounds allow.
    void on_snapshot_taken(snapshot_taken const& taken,
                           std::uint64_t needed_index);

private:
    void ask_for_snapshot();

    replica_core& core;
    open_proposals& proposals;
    bool snapshot_asked = false;
    std::uint64_t asked_at_index = 0;
};

} // namespace bilberrylead::agreement

#endif
