#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_ACCEPTED_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_ACCEPTED_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// The proposal is committed: durable on a quorum and applied at this replica.
struct proposal_accepted
{
    /// Token of the request.
    std::uint64_t token = 0;
    /// Index of the entry; its apply effect came just before.
    std::uint64_t index = 0;
};

} // namespace bilberrylead::agreement

#endif
