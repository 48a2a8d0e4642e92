#include "bilberrylead/policy/region_plan.hpp"

#include <algorithm>
#include <cstddef>

namespace bilberrylead::policy
{

std::vector<std::vector<double>>
plan_regions(std::span<region_room const> rooms,
             region_plan_settings const& settings)
{
    std::size_t const count = rooms.size();
    double demand = 0;
    double slots = 0;
    for (region_room const& each : rooms)
    {
        demand += each.demand;
        slots += each.slots;
    }
    double const room = slots * settings.most_fill;
    double const served = demand > room && demand > 0 ? room / demand : 1.0;
    double const use = slots > 0 ? demand / slots : 0.0;
    double const fill = std::clamp(use * settings.excess, settings.least_fill,
                                   settings.most_fill);

    // What each region lacks, and what it can spare, once its own callers
    // have the part that everybody gets.
    std::vector<double> lacking(count, 0.0);
    std::vector<double> spare(count, 0.0);
    double all_spare = 0;
    for (std::size_t region = 0; region < count; ++region)
    {
        double const wanted = rooms[region].demand * served;
        double const own = rooms[region].slots * fill;
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
                lacking[home] * spare[other] / all_spare / rooms[home].demand;
            shares[home][other] += part;
            shares[home][home] -= part;
        }
    }
    return shares;
}

} // namespace bilberrylead::policy
