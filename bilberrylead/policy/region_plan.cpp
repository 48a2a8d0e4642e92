#include "bilberrylead/policy/region_plan.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace bilberrylead::policy
{

namespace
{

/// Demand of each region, raised to the minimum expected demand.
std::vector<double> expected_demands(std::span<region_capacity const> regions,
                                     region_plan_settings const& settings)
{
    double measured_demand = 0;
    double slots = 0;
    double entry_hosts = 0;
    for (region_capacity const& region : regions)
    {
        measured_demand += region.demand;
        slots += region.slots;
        entry_hosts += region.entry_hosts;
    }
    double const missing_demand =
        std::max(0.0, slots * settings.expected_utilization - measured_demand);
    std::vector<double> demands;
    for (region_capacity const& region : regions)
    {
        double const part =
            entry_hosts > 0 ? region.entry_hosts / entry_hosts : 0.0;
        demands.push_back(region.demand + missing_demand * part);
    }
    return demands;
}

} // namespace

std::vector<std::vector<double>>
plan_regions(std::span<region_capacity const> regions,
             region_plan_settings const& settings)
{
    std::size_t const count = regions.size();
    std::vector<double> const demands = expected_demands(regions, settings);
    double const total_demand =
        std::accumulate(demands.begin(), demands.end(), 0.0);
    double slots = 0;
    for (region_capacity const& region : regions)
    {
        slots += region.slots;
    }
    double const capacity = slots * settings.max_utilization;
    double const served_share = total_demand > capacity && total_demand > 0
                                    ? capacity / total_demand
                                    : 1.0;

    // The capacity that each region lacks or can spare once its own callers
    // have the share of their demand that all regions can serve.
    std::vector<double> shortage(count, 0.0);
    std::vector<double> spare(count, 0.0);
    double total_spare = 0;
    for (std::size_t region = 0; region < count; ++region)
    {
        double const served_demand = demands[region] * served_share;
        double const own_capacity =
            regions[region].slots * settings.max_utilization;
        shortage[region] = std::max(0.0, served_demand - own_capacity);
        spare[region] = std::max(0.0, own_capacity - served_demand);
        total_spare += spare[region];
    }

    std::vector<std::vector<double>> shares(count,
                                            std::vector<double>(count, 0.0));
    for (std::size_t local = 0; local < count; ++local)
    {
        shares[local][local] = 1;
        if (shortage[local] <= 0 || total_spare <= 0)
        {
            continue;
        }
        double const routed_demand = settings.refuses_before_routing
                                         ? demands[local] * served_share
                                         : demands[local];
        for (std::size_t remote = 0; remote < count; ++remote)
        {
            double const part =
                shortage[local] * spare[remote] / total_spare / routed_demand;
            shares[local][remote] += part;
            shares[local][local] -= part;
        }
    }
    return shares;
}

} // namespace bilberrylead::policy
