#ifndef BILBERRYLEAD_CONFIG_ENTRY_LIMITS_HPP
#define BILBERRYLEAD_CONFIG_ENTRY_LIMITS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::config
{

/// What one entry host spends on callers at most. The product of requests
/// and buffers bounds its memory whatever callers send.
struct entry_limits
{
    /// Caller connections open at a time. With a buffer for each direction
    /// of 16 KiB, 8192 stay below 300 MB.
    std::uint32_t connections = 8192;
    /// Requests accepted and not yet answered. More than all slots of the
    /// largest known deployment can serve within a deadline.
    std::uint32_t requests = 4096;
    /// Bytes held of one request or answer in one direction while it
    /// streams. One read of a socket; more brings no speed on loopback.
    std::size_t buffer_bytes = std::size_t{16} << 10U;
    /// Largest request header, all lines together. What common servers take.
    std::size_t header_bytes = std::size_t{8} << 10U;
    /// Time a caller gets to send a whole header. Stops callers that hold a
    /// connection with a line a second.
    duration header_timeout = std::chrono::seconds(10);
    /// Longest silence of a caller within a request body or while it should
    /// read an answer.
    duration progress_timeout = std::chrono::seconds(20);
    /// Longest time a caller's connection stays open without a request.
    duration idle_timeout = std::chrono::seconds(60);

    friend bool operator==(entry_limits const&, entry_limits const&) = default;
};

} // namespace bilberrylead::config

#endif
