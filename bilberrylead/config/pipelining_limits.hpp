#ifndef BILBERRYLEAD_CONFIG_PIPELINING_LIMITS_HPP
#define BILBERRYLEAD_CONFIG_PIPELINING_LIMITS_HPP

#include <cstddef>
#include <cstdint>

namespace bilberrylead::config
{

/// How far an entry host works ahead on one caller connection.
struct pipelining_limits
{
    /// Requests of one connection that are dispatched and not yet answered;
    /// 1: one request after the other.
    std::uint32_t max_requests = 1;
    /// Bytes of one answer's body that are held in memory until its turn.
    std::size_t max_answer_bytes = std::size_t{64} << 10U;

    friend bool operator==(pipelining_limits const&,
                           pipelining_limits const&) = default;
};

} // namespace bilberrylead::config

#endif
