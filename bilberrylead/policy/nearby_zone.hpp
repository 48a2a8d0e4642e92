#ifndef BILBERRYLEAD_POLICY_NEARBY_ZONE_HPP
#define BILBERRYLEAD_POLICY_NEARBY_ZONE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// Another zone's load as this zone's owner knows it.
struct nearby_zone
{
    /// One-way latency to it.
    duration one_way_latency{};
    /// Slots it may use; 0 until it reports.
    std::uint32_t usable_slots = 0;
    /// Expected wait there by its last report.
    duration expected_wait{};
    /// When that report came.
    instant reported_at;
    /// Requests that were moved there since.
    std::uint32_t moved_since_report = 0;
};

} // namespace bilberrylead::policy

#endif
