#ifndef BILBERRYLEAD_CONTROL_REFUSALS_HPP
#define BILBERRYLEAD_CONTROL_REFUSALS_HPP

#include "bilberrylead/agreement/effects/proposal_refused.hpp"
#include "bilberrylead/core/ids.hpp"

#include <absl/status/status.h>

namespace bilberrylead::control
{

/// What an operator hears where this host does not lead: who does, or that
/// nobody does now.
absl::Status not_leader(host_id const& leader);

/// What an operator hears when the log refuses a proposal.
absl::Status refusal_status(agreement::refusal reason, host_id const& leader);

} // namespace bilberrylead::control

#endif
