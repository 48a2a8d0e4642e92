#ifndef BILBERRYLEAD_POLICY_REGION_PLAN_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_REGION_PLAN_SETTINGS_HPP

namespace bilberrylead::policy
{

/// Settings of plan_regions.
struct region_plan_settings
{
    /// Share of all slots that is expected to be in use whatever is measured:
    /// what is missing from the demand is taken to come from the entry hosts
    /// alike. Callers then run where a full day would have them run anyway,
    /// and a demand that rises and falls moves few of them: each object that
    /// changes its region has to be learnt there, in a run several times as
    /// long.
    double expected_utilization = 0.8;
    /// Share of a region's slots that is counted on at most; the rest goes to
    /// arrivals that come unevenly.
    double max_utilization = 0.9;
};

} // namespace bilberrylead::policy

#endif
