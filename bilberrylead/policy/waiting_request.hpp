#ifndef BILBERRYLEAD_POLICY_WAITING_REQUEST_HPP
#define BILBERRYLEAD_POLICY_WAITING_REQUEST_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// A request in front of the slots, as far as policy has to know it.
struct waiting_request
{
    /// Names it towards whoever asked; unique while it waits.
    std::uint64_t ticket = 0;
    /// Hash of the caller: requests of one flow take turns with the other
    /// flows, not with each other.
    std::uint32_t flow = 0;
    /// When it came in, on this process's clock.
    instant arrived;
    /// When its answer is of no more use.
    instant deadline;
    /// What it costs an upstream.
    config::work_length length = config::work_length::brief;
    /// The entry host that asks, by its place in the configuration.
    std::uint32_t host = 0;
    /// True if it was let in by another zone and moved here. It stays: two
    /// zones that each think the other idle would pass it back and forth
    /// until its deadline.
    bool moved = false;
    /// True if it may still be sent to another zone.
    bool may_move = true;
};

} // namespace bilberrylead::policy

#endif
