#ifndef BILBERRYLEAD_AGREEMENT_PEER_TABLE_HPP
#define BILBERRYLEAD_AGREEMENT_PEER_TABLE_HPP

#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/agreement/peer_progress.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::agreement
{

/// A leader's view of the other members, and the values that a quorum has
/// reached.
class peer_table
{
public:
    /// Removes all rows.
    void clear();

    /// Updates the rows to a membership. A new incarnation gets a new row,
    /// which starts at `next_index` and is listed since `now`.
    void update_members(membership const& current, host_id const& self,
                        std::uint64_t next_index, instant now);

    /// Returns the row of a host, or nullptr.
    peer_progress* find(host_id const& host);

    /// Every row, ordered by host.
    std::vector<peer_progress>& all();
    /// Every row, ordered by host.
    std::vector<peer_progress> const& all() const;

    /// Highest index that a quorum stores; `own` counts if this replica votes.
    std::uint64_t quorum_match_index(bool self_votes, std::uint64_t own) const;

    /// Highest index that a quorum knows to be committed; `own` counts if this
    /// replica votes.
    std::uint64_t quorum_commit_index(bool self_votes, std::uint64_t own) const;

    /// Latest round that a quorum replied to; `own` counts if this replica
    /// votes.
    std::uint64_t quorum_round(bool self_votes, std::uint64_t own) const;

    /// Latest time such that a quorum replied to messages sent then or later;
    /// nullopt if no quorum has replied yet. `own` counts if this replica
    /// votes.
    std::optional<instant> quorum_acked_send_time(bool self_votes,
                                                  instant own) const;

private:
    std::vector<peer_progress> rows;
};

} // namespace bilberrylead::agreement

#endif
