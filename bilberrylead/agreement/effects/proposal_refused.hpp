#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_REFUSED_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_REFUSED_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace bilberrylead::agreement
{

/// Why a proposal did not enter the log.
enum class refusal : std::uint8_t
{
    /// This replica does not lead; ask the one the hint names.
    not_leader,
    /// It hands its office over; ask again shortly.
    handing_over,
    /// Too much waits to be committed; ask again later.
    no_room,
    /// An earlier membership change is not settled; ask again later.
    change_in_progress,
    /// The membership change makes no sense (nobody to remove, the last
    /// voter, a member already, an incarnation older than the known one).
    bad_change,
    /// Too few voters of the membership it would bring answer now; bring
    /// the others back first.
    would_lose_quorum,
    /// The disk failed; ask another host.
    disk_failed,
};

/// The refusal's name for logs and answers.
std::string_view to_string(refusal value);

/// The proposal is not in the log and never will be.
struct proposal_refused
{
    /// As in the request.
    std::uint64_t token = 0;
    /// Why.
    refusal reason = refusal::not_leader;
    /// Who leads, as far as known; empty if unknown.
    host_id leader;
};

} // namespace bilberrylead::agreement

#endif
