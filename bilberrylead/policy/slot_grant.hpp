#ifndef BILBERRYLEAD_POLICY_SLOT_GRANT_HPP
#define BILBERRYLEAD_POLICY_SLOT_GRANT_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// A slot that its owner gave to an entry host, as the owner remembers it.
struct slot_grant
{
    /// Names the grant; an owner never uses a number twice.
    std::uint64_t id = 0;
    /// The upstream, by its place in the owner's list.
    std::uint32_t upstream = 0;
    /// The entry host that may use it.
    std::uint32_t host = 0;
    /// What runs in it.
    config::work_length length = config::work_length::brief;
    /// When the owner takes it back unless it hears from the host.
    instant expires;
    /// True if a slot was free when it was given, so that the time until
    /// the answer is service time and no wait.
    bool slot_was_free = true;
};

} // namespace bilberrylead::policy

#endif
