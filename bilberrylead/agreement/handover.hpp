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
    handover(replica_core& shared, leadership& lead);

    /// Starts, if this replica leads and there is a successor.
    void on_handover_requested(host_id const& wanted);

    /// True while proposals are turned away for it.
    bool under_way() const;

    /// Tells the successor once it has the whole log; gives up when it
    /// took too long.
    void go_on();

    /// The office is lost, or the attempt given up.
    void end();

private:
    host_id best_successor() const;

    replica_core& core;
    leadership& office;
    host_id target;
    instant until;
    bool told = false;
};

} // namespace bilberrylead::agreement

#endif
