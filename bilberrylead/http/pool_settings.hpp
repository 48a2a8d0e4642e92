#ifndef BILBERRYLEAD_HTTP_POOL_SETTINGS_HPP
#define BILBERRYLEAD_HTTP_POOL_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::http
{

/// How connections to upstreams are kept.
struct pool_settings
{
    /// A connection that does not come about in this time never will;
    /// 35 ms between regions, so a few resends of the first packet fit.
    duration connect_timeout = std::chrono::seconds(1);
    /// An idle connection older than this is closed. Shorter than the five
    /// minutes after which common middle boxes forget a connection.
    duration idle_limit = std::chrono::seconds(30);
    /// Work that may not be repeated goes only over a connection that
    /// answered this short a time ago: on an older one it could vanish in
    /// silence, and its outcome would be unknown. A new one costs 1 ms.
    duration run_once_idle_limit = std::chrono::seconds(1);
    /// An exchange that was given up on after this time without a byte
    /// makes its connection's siblings suspect. Closing them costs 1 ms
    /// each, keeping them may cost one lost answer each.
    duration silence_suspicion = std::chrono::milliseconds(200);
    /// Idle connections kept for each upstream. Slots bound what is in use.
    std::size_t largest_idle = 32;
};

} // namespace bilberrylead::http

#endif
