#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_REFUSED_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_REFUSED_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace bilberrylead::agreement
{

/// Reason why a proposal was not added to the log.
enum class refusal : std::uint8_t
{
    /// This replica is not the leader; ask the one named as leader.
    not_leader,
    /// The leader is handing over leadership; retry shortly.
    handing_over,
    /// Too many entries or bytes are uncommitted; retry later.
    no_room,
    /// An earlier membership change is not committed yet, or no entry of this
    /// term is; retry later.
    change_in_progress,
    /// The membership change is not valid: it removes a host that is not a
    /// member or the last voter, adds a member that exists already, or names an
    /// incarnation older than the listed one.
    bad_change,
    /// Too few voters of the resulting membership respond now; bring the others
    /// back first.
    would_lose_quorum,
    /// The disk failed; ask another host.
    disk_failed,
};

/// Name of the refusal for logs and replies.
std::string_view to_string(refusal value);

/// The proposal is not in the log and never will be.
struct proposal_refused
{
    /// Token of the request.
    std::uint64_t token = 0;
    /// Reason for the refusal.
    refusal reason = refusal::not_leader;
    /// The current leader; empty if unknown.
    host_id leader;
};

} // namespace bilberrylead::agreement

#endif
