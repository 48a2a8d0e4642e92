#ifndef BILBERRYLEAD_POLICY_REGION_CAPACITY_HPP
#define BILBERRYLEAD_POLICY_REGION_CAPACITY_HPP

namespace bilberrylead::policy
{

/// What one region's callers ask of a service, and what room the region has.
struct region_capacity
{
    /// Slots that its callers' requests would hold if all were served; 0 or
    /// more.
    double demand = 0;
    /// Slots of its upstreams that take work; 0 or more.
    double slots = 0;
    /// Entry hosts that stand there. They are put where callers are, so they
    /// tell what to expect of a region as long as its demand does not.
    double entry_hosts = 0;
};

} // namespace bilberrylead::policy

#endif
