#ifndef BILBERRYLEAD_ENTRY_UPSTREAM_LOAD_HPP
#define BILBERRYLEAD_ENTRY_UPSTREAM_LOAD_HPP

#include <cstdint>

namespace bilberrylead::entry
{

/// Load that an upstream reports with an answer.
struct upstream_load
{
    /// Requests that it is running, from all entry hosts.
    std::uint32_t running = 0;
    /// Requests that wait at the upstream.
    std::uint32_t waiting = 0;
};

} // namespace bilberrylead::entry

#endif
