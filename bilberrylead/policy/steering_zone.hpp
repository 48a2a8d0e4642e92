#ifndef BILBERRYLEAD_POLICY_STEERING_ZONE_HPP
#define BILBERRYLEAD_POLICY_STEERING_ZONE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// An availability zone as steering sees it.
struct steering_zone
{
    /// Its region, by its place in the configuration.
    std::size_t region = 0;
    /// Slots that may be used there, all services' upstreams of one kind.
    std::uint32_t slots = 0;
    /// Slots in use on average by the last report.
    double in_use = 0;
    /// When that report came.
    instant reported_at;
    /// Slots' worth of callers sent there that the report does not show.
    double handed_out = 0;
};

} // namespace bilberrylead::policy

#endif
