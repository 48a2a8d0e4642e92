#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_PROPOSE_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_PROPOSE_HPP

#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// Requests that a command be added to the log. Answered exactly once with
/// proposal_accepted, proposal_refused or proposal_outcome_unknown.
struct propose
{
    /// Number chosen by the requester, unique among its pending requests.
    std::uint64_t token = 0;
    /// The state machine's command.
    bytes payload;
};

} // namespace bilberrylead::agreement

#endif
