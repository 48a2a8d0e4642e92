#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_ROLE_CHANGED_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_ROLE_CHANGED_HPP

#include "bilberrylead/agreement/role.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// Role, term or known leader has changed. For logs, status output and work
/// that only a leader does.
struct role_changed
{
    /// The replica's current role.
    agreement::role role = agreement::role::learner;
    /// Its current term.
    std::uint64_t term = 0;
    /// The leader of that term; empty if unknown.
    host_id leader;
};

} // namespace bilberrylead::agreement

#endif
