#ifndef BILBERRYLEAD_POLICY_REGION_TARGET_HPP
#define BILBERRYLEAD_POLICY_REGION_TARGET_HPP

#include <cstdint>

namespace bilberrylead::policy
{

/// What share of one entry host's requests is to run in a region.
struct region_target
{
    /// Hash of the region's name: objects are spread over regions by it, the
    /// same way on every entry host and after every restart.
    std::uint64_t region_hash = 0;
    /// 0 to 1; those of all regions add up to 1.
    double share = 0;
};

} // namespace bilberrylead::policy

#endif
