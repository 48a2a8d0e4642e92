#ifndef BILBERRYLEAD_CONTROL_HELD_CONFIRMATION_HPP
#define BILBERRYLEAD_CONTROL_HELD_CONFIRMATION_HPP

#include "bilberrylead/control/operator_reply.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::control
{

/// An accepted change that is not confirmed to its operator yet.
struct held_confirmation
{
    /// Number of the operator's request.
    std::uint64_t number = 0;
    /// What the operator is told.
    operator_reply reply;
    /// Index in the replicated log that put the awaited revision in force.
    std::uint64_t index = 0;
    /// Revision that must be in force.
    revision awaited = 0;
    /// When that was known to be committed, or the leadership began.
    instant accepted_at;
};

} // namespace bilberrylead::control

#endif
