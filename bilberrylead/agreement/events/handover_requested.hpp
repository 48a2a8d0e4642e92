#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_HANDOVER_REQUESTED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_HANDOVER_REQUESTED_HPP

#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::agreement
{

/// Asks a leader to hand its office over, before a planned stop. Others
/// ignore it. Its outcome shows as role_changed; ask again if it does not.
struct handover_requested
{
    /// Who should take over; empty for the voter that is furthest.
    host_id target;
};

} // namespace bilberrylead::agreement

#endif
