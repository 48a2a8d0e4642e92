#ifndef BILBERRYLEAD_ENTRY_UPSTREAM_LOAD_HPP
#define BILBERRYLEAD_ENTRY_UPSTREAM_LOAD_HPP

#include <cstdint>
#include <optional>

namespace bilberrylead::entry
{

/// Load that an upstream reports with an answer.
struct upstream_load
{
    /// Requests that it is running, from all entry hosts.
    std::uint32_t running = 0;
    /// Requests that wait at the upstream.
    std::uint32_t waiting = 0;
    /// Time that work takes at the upstream at this moment, in percent of the
    /// usual time: 1 to 100,000. Empty if it is not reported.
    std::optional<std::uint32_t> run_time_percent = std::nullopt;
};

} // namespace bilberrylead::entry

#endif
