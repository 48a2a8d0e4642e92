#ifndef BILBERRYLEAD_POLICY_NEIGHBOUR_ZONE_HPP
#define BILBERRYLEAD_POLICY_NEIGHBOUR_ZONE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// Another zone's load as this zone's owner knows it.
struct neighbour_zone
{
    /// One-way latency to it.
    duration distance{};
    /// Slots it may use; 0 until it reports.
    std::uint32_t usable = 0;
    /// Expected wait there by its last report.
    duration expected_wait{};
    /// When that report came.
    instant seen_at;
    /// Requests that were moved there since.
    std::uint32_t moved_since = 0;
};

} // namespace bilberrylead::policy

#endif
