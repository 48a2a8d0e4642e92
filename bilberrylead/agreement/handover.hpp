#ifndef BILBERRYLEAD_AGREEMENT_HANDOVER_HPP
#define BILBERRYLEAD_AGREEMENT_HANDOVER_HPP

#include "bilberrylead/agreement/leadership.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

namespace bilberrylead::agreement
{

/// Transfers leadership before a planned stop: refuses new proposals, waits
/// until the successor has the complete log, then sends it timeout_now. Without
/// the transfer callers would wait out an election timeout at each planned
/// stop.
class handover
{
public:
    /// Keeps references to both; they must outlive this object.
    handover(replica_core& shared, agreement::leadership& lead);

    /// Starts a transfer if this replica leads and none is in progress. The
    /// target is `requested_target` if it is another member, otherwise the
    /// responsive voter with the longest matching log.
    void on_handover_requested(host_id const& requested_target);

    /// True while a transfer is in progress and proposals are refused.
    bool is_in_progress() const;

    /// Sends timeout_now once the target has the complete log. Cancels the
    /// transfer after one election timeout, or if the target is no longer a
    /// voter.
    void advance();

    /// Ends the transfer: leadership was lost or the attempt failed.
    void cancel();

private:
    host_id best_successor() const;

    replica_core& core;
    agreement::leadership& leadership;
    host_id target;
    instant deadline;
    bool timeout_now_sent = false;
};

} // namespace bilberrylead::agreement

#endif
