#ifndef BILBERRYLEAD_POLICY_NEARBY_ZONE_HPP
#define BILBERRYLEAD_POLICY_NEARBY_ZONE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// The load of another zone as known to this zone's owner.
struct nearby_zone
{
    /// One-way network latency to the zone.
    duration one_way_latency{};
    /// Slots that the zone may use; 0 until it reports.
    std::uint32_t usable_slots = 0;
    /// Expected wait in the zone by its last report.
    duration expected_wait{};
    /// When that report arrived.
    instant reported_at;
    /// Requests that were moved to the zone since that report.
    std::uint32_t moved_since_report = 0;
};

} // namespace bilberrylead::policy

#endif
