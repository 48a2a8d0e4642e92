#ifndef BILBERRYLEAD_POLICY_REGION_LOAD_HPP
#define BILBERRYLEAD_POLICY_REGION_LOAD_HPP

#include <cstdint>

namespace bilberrylead::policy
{

/// One region's measurement, summed over its availability zones.
struct region_load
{
    /// Slots that may be used.
    std::uint32_t slots = 0;
    /// Of these, slots of upstreams that started lately.
    std::uint32_t cold_slots = 0;
    /// Slots in use on average.
    double in_use = 0;
    /// Slots that the region's own callers need on average, wherever they
    /// are served, those that are told "not run" included.
    double demand = 0;
};

} // namespace bilberrylead::policy

#endif
