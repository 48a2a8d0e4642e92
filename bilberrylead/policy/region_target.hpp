#ifndef BILBERRYLEAD_POLICY_REGION_TARGET_HPP
#define BILBERRYLEAD_POLICY_REGION_TARGET_HPP

#include <cstdint>

namespace bilberrylead::policy
{

/// The target share of one region in the requests of one entry host.
struct region_target
{
    /// Hash of the region's name. Rendezvous hashing assigns objects to regions
    /// by it, so that every entry host gets the same assignment, also after a
    /// restart.
    std::uint64_t region_hash = 0;
    /// 0 to 1; the shares of all regions add up to 1.
    double share = 0;
};

} // namespace bilberrylead::policy

#endif
