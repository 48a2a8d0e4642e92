#ifndef BILBERRYLEAD_POLICY_ADMISSION_PLANNER_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_PLANNER_SETTINGS_HPP

#include <cstddef>

namespace bilberrylead::policy
{

/// Settings of admission_planner.
struct admission_planner_settings
{
    /// Work that is admitted, as a multiple of a region's slots. Over 1: entry
    /// hosts correct excess work on their own, while a slot that stays idle
    /// because the demand was stated too high is lost.
    double planned_capacity = 1.1;
    /// Smallest admitted share of any rank or customer, as a part of the share
    /// of all requests for the service that is admitted.
    double min_relative_share = 0.25;
    /// Largest number of ranks in a plan; the last one stands for all less
    /// urgent ones.
    std::size_t max_ranks = 16;
    /// Largest number of customers that a plan for a service names.
    std::size_t max_customers = 32;
};

} // namespace bilberrylead::policy

#endif
