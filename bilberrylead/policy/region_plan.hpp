#ifndef BILBERRYLEAD_POLICY_REGION_PLAN_HPP
#define BILBERRYLEAD_POLICY_REGION_PLAN_HPP

#include "bilberrylead/policy/region_capacity.hpp"
#include "bilberrylead/policy/region_plan_settings.hpp"

#include <span>
#include <vector>

namespace bilberrylead::policy
{

/// Returns for each region the shares of its callers' requests that run in each
/// region, in the order of `regions`; every row adds up to 1.
///
/// Load it handles: capacity and callers are not in the same places. Without a
/// plan, the callers of a region with few upstreams wait and are refused while
/// slots stand idle in another region. If every entry host selected the
/// emptiest region on its own, all of them would select the same region at the
/// same time.
///
/// While the measured demand is below the expected minimum, the difference is
/// attributed to the entry hosts of the regions, so that no caller has to wait
/// until the bounded rate of change has moved requests to where the capacity
/// is.
///
/// Requests stay in their own region while it has capacity, since the round
/// trip to another region costs more than a short wait. The excess demand of a
/// region is distributed to the other regions in proportion to their spare
/// capacity. If the total demand exceeds the total capacity, the same share of
/// the demand of each region is served and the rest is refused in its own
/// region, or before routing if the settings say so.
std::vector<std::vector<double>>
plan_regions(std::span<region_capacity const> regions,
             region_plan_settings const& settings = {});

} // namespace bilberrylead::policy

#endif
