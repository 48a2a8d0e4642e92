#ifndef BILBERRYLEAD_POLICY_REGION_PLAN_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_REGION_PLAN_SETTINGS_HPP

namespace bilberrylead::policy
{

/// Settings of plan_regions.
struct region_plan_settings
{
    /// Minimum share of all slots that is expected to be in use, whatever the
    /// measured demand. The difference to the measured demand is distributed
    /// over the entry hosts equally. Callers then run where they would run at
    /// full load, and few of them are moved when the demand rises and falls:
    /// each object that changes its region has to be cached there first, in a
    /// run that takes several times as long.
    double expected_utilization = 0.8;
    /// Maximum share of a region's slots that is planned for; the remainder
    /// absorbs uneven arrivals.
    double max_utilization = 0.9;
    /// True if entry hosts refuse the excess demand before they distribute
    /// requests, as they do with admission by plan. The shares then apply to
    /// the demand that remains, so that it loads all regions equally. Otherwise
    /// the excess stays in its own region, where upstreams refuse it.
    bool refuses_before_routing = false;
};

} // namespace bilberrylead::policy

#endif
