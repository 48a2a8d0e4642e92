#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_ACCEPTED_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_ACCEPTED_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// The proposal is committed: durable on a quorum, and applied here.
struct proposal_accepted
{
    /// As in the request.
    std::uint64_t token = 0;
    /// The entry's index; apply with it came just before.
    std::uint64_t index = 0;
};

} // namespace bilberrylead::agreement

#endif
