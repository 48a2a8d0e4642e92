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

/// The process is up and its data folder read. The first event, once only.
struct started
{
    /// As last made durable; the default for a blank data folder.
    agreement::hard_state hard_state;
    /// The newest durable snapshot, if there is one.
    std::optional<agreement::snapshot> snapshot;
    /// The durable log after the snapshot (or overlapping it), in order.
    std::vector<log_entry> entries;
    /// The first membership of a new group: only for a blank data folder,
    /// only by an operator's one-time order, the same at every founder.
    /// A blank host without it waits until a leader takes it in; started
    /// again with it after a disk loss it would vote as its former self.
    std::optional<membership> initial_membership;
};

} // namespace bilberrylead::agreement

#endif
