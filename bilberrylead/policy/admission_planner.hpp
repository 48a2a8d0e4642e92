#ifndef BILBERRYLEAD_POLICY_ADMISSION_PLANNER_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_PLANNER_HPP

#include "bilberrylead/policy/admission_plan.hpp"
#include "bilberrylead/policy/admission_planner_settings.hpp"
#include "bilberrylead/policy/admission_region.hpp"

#include <span>
#include <vector>

namespace bilberrylead::policy
{

/// Computes which share of the requests of each rank and customer entry hosts
/// admit while the capacity of a service is insufficient.
///
/// Load it handles: without a plan, chance decides who is served. Urgent
/// requests are refused as readily as others, and a customer that sends many
/// requests takes the capacity of the others.
///
/// Every rank first gets its minimum share. The remaining capacity goes to the
/// ranks in the order of their urgency, so that the ranks that fit are admitted
/// in full, one rank in part, and the others with the minimum share. Within the
/// rank that is admitted in part, the capacity is divided among the customers
/// by max-min fairness: none gets more than a common level, unless by its
/// minimum share. Customers that are not named count as customers of the size
/// of the smallest named one.
///
/// Requests run where the region plan sends them. A region's callers therefore
/// get the mean of the shares of those regions, weighted by that plan.
class admission_planner
{
public:
    /// Makes a planner with fixed settings.
    explicit admission_planner(admission_planner_settings const& settings = {});

    /// Returns a plan for the entry hosts of each region, in the order of
    /// `regions`. `shares[i][j]` is the share of region i's requests that runs
    /// in region j. Empty if the service has no slots at all, because the
    /// capacity is unknown then, or if there is no demand.
    std::vector<admission_plan>
    plan(service_id const& service, std::span<admission_region const> regions,
         std::vector<std::vector<double>> const& shares) const;

private:
    admission_planner_settings settings;
};

} // namespace bilberrylead::policy

#endif
