#ifndef BILBERRYLEAD_POLICY_WAITING_REQUEST_HPP
#define BILBERRYLEAD_POLICY_WAITING_REQUEST_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// The properties of a waiting request that admission decides by.
struct waiting_request
{
    /// Identifies the request to its sender; unique while it waits.
    std::uint64_t ticket = 0;
    /// Hash of the caller. Slots are shared out fairly among flows, not among
    /// the requests of one flow.
    std::uint32_t flow = 0;
    /// When it arrived, by this process's clock.
    instant arrived;
    /// Time after which its answer is of no use.
    instant deadline;
    /// How long it occupies an upstream.
    config::work_length length = config::work_length::brief;
    /// The requesting entry host, as an index into the configuration.
    std::uint32_t host = 0;
    /// True if another zone admitted it and moved it here. It does not move
    /// again: two zones that each take the other for idle would pass it back
    /// and forth until its deadline.
    bool moved = false;
    /// True if it may still be moved to another zone.
    bool may_move = true;
};

} // namespace bilberrylead::policy

#endif
