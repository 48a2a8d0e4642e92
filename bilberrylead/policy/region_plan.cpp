#include "bilberrylead/policy/region_plan.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace bilberrylead::policy
{

namespace
{

/// Demand of each region, filled up to what is expected at least.
std::vector<double> expected_demands(std::span<region_room const> rooms,
                                     region_plan_settings const& settings)
{
    double measured = 0;
    double slots = 0;
    double entry_hosts = 0;
    for (region_room const& each : rooms)
    {
        measured += each.demand;
        slots += each.slots;
        entry_hosts += each.entry_hosts;
    }
    double const missing =
        std::max(0.0, slots * settings.expected_use - measured);
    std::vector<double> demands;
    for (region_room const& each : rooms)
    {
        double const part =
            entry_hosts > 0 ? each.entry_hosts / entry_hosts : 0.0;
        demands.push_back(each.demand + missing * part);
    }
    return demands;
}

} // namespace

std::vector<std::vector<double>>
plan_regions(std::span<region_room const> rooms,
             region_plan_settings const& settings)
{
    std::size_t const count = rooms.size();
    std::vector<double> const demands = expected_demands(rooms, settings);
    double const demand = std::accumulate(demands.begin(), demands.end(), 0.0);
    double slots = 0;
    for (region_room const& each : rooms)
    {
        slots += each.slots;
    }
    double const room = slots * settings.most_fill;
    double const served = demand > room && demand > 0 ? room / demand : 1.0;

    // What each region lacks, and what it can spare, once its own callers
    // have the part that everybody gets.
    std::vector<double> lacking(count, 0.0);
    std::vector<double> spare(count, 0.0);
    double all_spare = 0;
    for (std::size_t region = 0; region < count; ++region)
    {
        double const wanted = demands[region] * served;
        double const own = rooms[region].slots * settings.most_fill;
        lacking[region] = std::max(0.0, wanted - own);
        spare[region] = std::max(0.0, own - wanted);
        all_spare += spare[region];
    }

    std::vector<std::vector<double>> shares(count,
                                            std::vector<double>(count, 0.0));
    for (std::size_t home = 0; home < count; ++home)
    {
        shares[home][home] = 1;
        if (lacking[home] <= 0 || all_spare <= 0)
        {
            continue;
        }
        for (std::size_t other = 0; other < count; ++other)
        {
            double const part =
                lacking[home] * spare[other] / all_spare / demands[home];
            shares[home][other] += part;
            shares[home][home] -= part;
        }
    }
    return shares;
}

} // namespace bilberrylead::policy
