#ifndef BILBERRYLEAD_POLICY_REGION_PLAN_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_REGION_PLAN_SETTINGS_HPP

namespace bilberrylead::policy
{

/// Settings of plan_regions.
struct region_plan_settings
{
    /// Share of a region's slots that is filled before requests go
    /// elsewhere, however little all regions are used: below it there is
    /// hardly a wait for a slot.
    double least_fill = 0.5;
    /// Share of all slots that is expected to be in use whatever is measured:
    /// what is missing from the demand is taken to come from the entry hosts
    /// alike. Before any demand is known, and while it is low, callers then
    /// already run where the plan would move them later; at its bounded pace
    /// that move takes ten seconds and more, with a full region meanwhile.
    double expected_use = 0.5;
    /// How much fuller than all regions together one may be. The way to
    /// another region costs less than the wait in a few slots that are
    /// nearly full, and less than the runs of objects that those have no
    /// room to remember.
    double excess = 1.15;
    /// Share of the slots that is counted on at most; the rest goes to
    /// arrivals that come unevenly.
    double most_fill = 0.9;
};

} // namespace bilberrylead::policy

#endif
