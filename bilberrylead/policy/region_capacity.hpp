#ifndef BILBERRYLEAD_POLICY_REGION_CAPACITY_HPP
#define BILBERRYLEAD_POLICY_REGION_CAPACITY_HPP

namespace bilberrylead::policy
{

/// The demand of one region's callers for a service, and the region's capacity.
struct region_capacity
{
    /// Slots that the requests of its callers would occupy if all of them were
    /// served; 0 or more.
    double demand = 0;
    /// Slots of its upstreams that accept work; 0 or more.
    double slots = 0;
    /// Entry hosts in the region. They are deployed where callers are, so that
    /// they indicate the expected demand of a region while none has been
    /// measured.
    double entry_hosts = 0;
};

} // namespace bilberrylead::policy

#endif
