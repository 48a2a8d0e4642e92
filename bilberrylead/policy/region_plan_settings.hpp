#ifndef BILBERRYLEAD_POLICY_REGION_PLAN_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_REGION_PLAN_SETTINGS_HPP

namespace bilberrylead::policy
{

/// Settings of plan_regions.
struct region_plan_settings
{
    /// Share of a region's slots that is filled before requests go
    /// elsewhere, and that others may fill. Above it the wait for one of a
    /// dozen slots exceeds half a run, which is what the way to another
    /// region costs.
    double fill = 0.85;
};

} // namespace bilberrylead::policy

#endif
