#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_ROLE_CHANGED_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_ROLE_CHANGED_HPP

#include "bilberrylead/agreement/role.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// Role, term or known leader is not what it was. For logs, status and
/// whatever only a leader does.
struct role_changed
{
    /// The replica's role now.
    agreement::role role = agreement::role::learner;
    /// Its term.
    std::uint64_t term = 0;
    /// Who leads in that term, as far as known; empty if unknown.
    host_id leader;
};

} // namespace bilberrylead::agreement

#endif
