#ifndef BILBERRYLEAD_AGREEMENT_HANDOVER_HPP
#define BILBERRYLEAD_AGREEMENT_HANDOVER_HPP

#include "bilberrylead/agreement/leadership.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

namespace bilberrylead::agreement
{

/// Hands the office over before a planned stop: takes no proposals, waits
/// until the successor has the whole log, then tells it to campaign.
/// Without it callers wait out an election timeout at each planned stop.
class handover
{
public:
    /// Works on the replica's shared state.
    handover(replica_core& shared, agreement::leadership& lead);

    /// Starts, if this replica leads and there is a successor.
    void on_handover_requested(host_id const& requested_target);

    /// True while proposals are turned away for it.
    bool is_in_progress() const;

    /// Tells the successor once it has the whole log; gives up when it
    /// took too long.
    void advance();

    /// The office is lost, or the attempt given up.
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
