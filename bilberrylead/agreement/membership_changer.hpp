#ifndef BILBERRYLEAD_AGREEMENT_MEMBERSHIP_CHANGER_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBERSHIP_CHANGER_HPP

#include "bilberrylead/agreement/events/membership_change_requested.hpp"
#include "bilberrylead/agreement/leadership.hpp"
#include "bilberrylead/agreement/member_state.hpp"
#include "bilberrylead/agreement/pending_proposals.hpp"
#include "bilberrylead/agreement/replica_core.hpp"

#include <optional>
#include <vector>

namespace bilberrylead::agreement
{

/// Membership changes, one member at a time. Quorums of consecutive memberships
/// share a voter, so that two leaders cannot be elected in the same term while
/// a change is in progress.
class membership_changer
{
public:
    /// Keeps references to all three; they must outlive this object.
    membership_changer(replica_core& shared, agreement::leadership& lead,
                       pending_proposals& waiting);

    /// Handles a change requested by an operator: appends the new membership or
    /// refuses.
    void on_change_requested(membership_change_requested const& request);

    /// Readmits a host that lost its disk as a learner, or promotes a learner
    /// that has caught up; at most one change per tick.
    void on_tick();

    /// State of each member, ordered by host; empty unless this replica leads.
    std::vector<member_state> members(instant now) const;

private:
    bool can_start_change() const;
    void append_change(membership const& next,
                       std::optional<std::uint64_t> token);
    bool readmit_wiped_host();
    void promote_learner();
    bool has_live_quorum(membership const& next) const;
    bool acked_recently(peer_progress const& peer) const;
    bool has_caught_up(peer_progress const& peer) const;

    replica_core& core;
    agreement::leadership& leadership;
    pending_proposals& proposals;
};

} // namespace bilberrylead::agreement

#endif
