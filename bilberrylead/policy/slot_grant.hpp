#ifndef BILBERRYLEAD_POLICY_SLOT_GRANT_HPP
#define BILBERRYLEAD_POLICY_SLOT_GRANT_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// The owner's record of a slot that it granted to an entry host.
struct slot_grant
{
    /// Identifies the grant; an owner never reuses an id.
    std::uint64_t id = 0;
    /// The upstream, as an index into the owner's list.
    std::uint32_t upstream = 0;
    /// The entry host that may use it.
    std::uint32_t host = 0;
    /// Length of the work that runs in the slot.
    config::work_length length = config::work_length::brief;
    /// When the owner revokes the grant unless it receives a message from the
    /// host before.
    instant expires;
    /// True if a slot was free at the grant, so that the time until the
    /// answer is service time without any wait.
    bool slot_was_free = true;
};

} // namespace bilberrylead::policy

#endif
