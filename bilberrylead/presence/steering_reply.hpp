#ifndef BILBERRYLEAD_PRESENCE_STEERING_REPLY_HPP
#define BILBERRYLEAD_PRESENCE_STEERING_REPLY_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/time.hpp"

#include <vector>

namespace bilberrylead::presence
{

/// Reply with the entry hosts that a caller should use.
struct steering_reply
{
    /// The addresses at which they accept callers, in no order of preference;
    /// empty if this control host receives heartbeats of no ready entry host.
    std::vector<config::endpoint> entry_hosts;
    /// How long the caller may use this reply.
    duration ttl{};
};

} // namespace bilberrylead::presence

#endif
