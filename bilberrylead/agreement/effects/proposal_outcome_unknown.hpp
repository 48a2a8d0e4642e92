#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_OUTCOME_UNKNOWN_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_OUTCOME_UNKNOWN_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// The replica lost leadership with the proposal in its log: it may or may not
/// be committed. Resend it with the same change id to find out.
struct proposal_outcome_unknown
{
    /// Token of the request.
    std::uint64_t token = 0;
    /// The current leader; empty if unknown.
    host_id leader;
};

} // namespace bilberrylead::agreement

#endif
