#ifndef BILBERRYLEAD_CONFIG_CALLER_LIMITS_HPP
#define BILBERRYLEAD_CONFIG_CALLER_LIMITS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::config
{

/// What callers may send, set by operators for all entry hosts. An entry
/// host's own limits (entry_limits) bound its memory besides.
struct caller_limits
{
    /// Largest request header, bytes. What common servers take.
    std::size_t header_bytes = std::size_t{16} << 10U;
    /// Largest request body, bytes.
    std::size_t body_bytes = std::size_t{64} << 20U;
    /// Time a caller gets to send a whole header. Stops callers that hold a
    /// connection with a line a second.
    duration header_timeout = std::chrono::seconds(5);
    /// Longest time a connection stays open without a request. Longer than
    /// the idle limits of usual clients, so that they close first.
    duration idle_timeout = std::chrono::seconds(75);

    friend bool operator==(caller_limits const&,
                           caller_limits const&) = default;
};

} // namespace bilberrylead::config

#endif
