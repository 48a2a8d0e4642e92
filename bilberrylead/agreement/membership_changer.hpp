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

/// Changes of membership, one member at a time. Quorums of neighbouring
/// memberships share a voter, so that no two leaders of a term can be
/// elected while a change is under way.
class membership_changer
{
public:
    /// Works on the replica's shared state.
    membership_changer(replica_core& shared, agreement::leadership& lead,
                       pending_proposals& waiting);

    /// An operator's change.
    void on_change_requested(membership_change_requested const& request);

    /// Takes a host that lost its disk back in as a learner, and makes
    /// learners that caught up voters.
    void on_tick();

    /// How each member does, by host; empty unless this replica leads.
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
