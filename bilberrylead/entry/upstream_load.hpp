#ifndef BILBERRYLEAD_ENTRY_UPSTREAM_LOAD_HPP
#define BILBERRYLEAD_ENTRY_UPSTREAM_LOAD_HPP

#include <cstdint>

namespace bilberrylead::entry
{

/// What an upstream says of itself beside an answer.
struct upstream_load
{
    /// Requests that it works on, of all entry hosts.
    std::uint32_t running = 0;
    /// Requests that wait there.
    std::uint32_t waiting = 0;
};

} // namespace bilberrylead::entry

#endif
