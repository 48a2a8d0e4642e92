#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_STARTED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_STARTED_HPP

#include "bilberrylead/agreement/hard_state.hpp"
#include "bilberrylead/agreement/log_entry.hpp"
#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/agreement/snapshot.hpp"

#include <optional>
#include <vector>

namespace bilberrylead::agreement
{

/// The process has started and read its data folder. Must be the first event
/// and occurs only once.
struct started
{
    /// Last durable hard state; the default for an empty data folder.
    agreement::hard_state hard_state;
    /// The newest durable snapshot, if there is one.
    std::optional<agreement::snapshot> snapshot;
    /// The durable log after the snapshot, or overlapping it, in order.
    std::vector<log_entry> entries;
    /// The first membership of a new group: only with an empty data folder,
    /// only by an operator's one-time order, and the same at every initial
    /// member. A host with an empty data folder and without it waits until a
    /// leader adds it. If it were given again after a disk loss, the host would
    /// vote as its previous incarnation.
    std::optional<membership> initial_membership;
};

} // namespace bilberrylead::agreement

#endif
