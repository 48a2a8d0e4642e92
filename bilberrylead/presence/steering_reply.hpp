#ifndef BILBERRYLEAD_PRESENCE_STEERING_REPLY_HPP
#define BILBERRYLEAD_PRESENCE_STEERING_REPLY_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/time.hpp"

#include <vector>

namespace bilberrylead::presence
{

/// Which entry hosts a caller should use.
struct steering_reply
{
    /// Where they take callers, in no order of merit; empty if this control
    /// host hears no entry host that is ready.
    std::vector<config::endpoint> entry_hosts;
    /// How long the caller may use this.
    duration ttl{};
};

} // namespace bilberrylead::presence

#endif
