#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_OUTCOME_UNKNOWN_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_PROPOSAL_OUTCOME_UNKNOWN_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// The replica lost its office with the proposal in its log: it may be
/// committed or not. Resend it with the same change id to find out.
struct proposal_outcome_unknown
{
    /// As in the request.
    std::uint64_t token = 0;
    /// Who leads, as far as known; empty if unknown.
    host_id leader;
};

} // namespace bilberrylead::agreement

#endif
