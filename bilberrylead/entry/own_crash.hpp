#ifndef BILBERRYLEAD_ENTRY_OWN_CRASH_HPP
#define BILBERRYLEAD_ENTRY_OWN_CRASH_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::entry
{

/// A crash that this entry host has recorded for a request. Kept to withdraw it
/// if the upstream turns out not to have ended.
struct own_crash
{
    /// The upstream that was taken for ended.
    upstream_id upstream;
    /// Digest of the request that it may have been running.
    std::uint64_t digest = 0;
    /// Time of the first connection that was lost with the upstream.
    instant lost_at{};
    /// Time at which the crash was recorded.
    instant recorded_at{};
};

} // namespace bilberrylead::entry

#endif
