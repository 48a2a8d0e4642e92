#ifndef BILBERRYLEAD_CONTROL_REFUSALS_HPP
#define BILBERRYLEAD_CONTROL_REFUSALS_HPP

#include "bilberrylead/agreement/effects/proposal_refused.hpp"
#include "bilberrylead/core/ids.hpp"

#include <absl/status/status.h>

namespace bilberrylead::control
{

/// Error for an operator whose request reached a host that is not the leader:
/// names the leader, or reports no_quorum if `leader` is empty.
absl::Status not_leader(host_id const& leader);

/// Error for an operator whose proposal the replicated log refused.
absl::Status refusal_status(agreement::refusal reason, host_id const& leader);

} // namespace bilberrylead::control

#endif
