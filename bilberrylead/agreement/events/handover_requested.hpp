#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_HANDOVER_REQUESTED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_HANDOVER_REQUESTED_HPP

#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::agreement
{

/// Requests that a leader hand over leadership before a planned stop; other
/// roles ignore it. The outcome is reported as role_changed; repeat the request
/// if there is none.
struct handover_requested
{
    /// The next leader; empty for the responsive voter with the longest
    /// matching log.
    host_id target;
};

} // namespace bilberrylead::agreement

#endif
