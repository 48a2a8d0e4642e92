#include "bilberrylead/policy/admission_planner.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <numeric>
#include <set>
#include <utility>

namespace bilberrylead::policy
{

namespace
{

using customer_key = std::pair<std::uint32_t, customer_id>;

/// Shares that differ by less are equal once they are sent.
constexpr double share_resolution = 0.0005;

/// A demand to which max-min fairness applies.
struct fair_demand
{
    /// Demand of one customer, in slots.
    double size = 0;
    /// Number of customers with this demand; need not be whole.
    double count = 1;
};

/// Returns the level L at which the sum of max(min_share * size,
/// min(size, L)) over all customers is `capacity`. `min_share` is below 1, and
/// the sum of min_share * size is at most `capacity`.
double find_fair_level(std::vector<fair_demand> const& demands, double capacity,
                       double min_share)
{
    // The allocation to a customer rises with the level between its minimum and
    // its demand. The sum is linear between two of these bounds.
    std::vector<std::pair<double, double>> slope_changes;
    slope_changes.reserve(demands.size() * 2);
    double allocated = 0;
    for (fair_demand const& each : demands)
    {
        if (each.size > 0 && each.count > 0)
        {
            slope_changes.emplace_back(min_share * each.size, each.count);
            slope_changes.emplace_back(each.size, -each.count);
            allocated += min_share * each.size * each.count;
        }
    }
    std::sort(slope_changes.begin(), slope_changes.end());
    double level = 0;
    double slope = 0;
    for (auto const& [bound, change] : slope_changes)
    {
        double const risen = allocated + slope * (bound - level);
        if (slope > 0 && risen >= capacity)
        {
            return level + (capacity - allocated) / slope;
        }
        allocated = risen;
        level = bound;
        slope += change;
    }
    return level;
}

/// The demand that reaches one region and what it admits of it.
struct region_work
{
    std::vector<double> demands;
    std::vector<double> shares;
    std::map<customer_key, double> customers;
    std::map<customer_key, double> customer_shares;
    double min_share = 1;
};

bool is_partly_admitted(double share, double min_share)
{
    return share < 1 - share_resolution && share > min_share + share_resolution;
}

/// Plans one service. Ranks are handled by their index, which puts the ranks
/// beyond the largest number together.
class service_planner
{
public:
    service_planner(admission_planner_settings const& settings,
                    std::span<admission_region const> regions,
                    std::vector<std::vector<double>> const& shares)
        : settings(settings), regions(regions), region_shares(shares),
          work(regions.size())
    {
        this->route_around_empty_regions();
        this->collect_ranks();
        this->add_demands();
        this->admit_ranks();
        this->divide_among_customers();
    }

    admission_plan plan_of(service_id const& service, std::size_t origin) const
    {
        admission_plan plan;
        plan.service = service;
        plan.region = this->regions[origin].region;
        for (std::size_t index = 0; index < this->ranks.size(); ++index)
        {
            double share = 0;
            for (std::size_t target = 0; target < this->work.size(); ++target)
            {
                share += this->region_shares[origin][target] *
                         this->work[target].shares[index];
            }
            plan.ranks.push_back(
                {this->ranks[index], std::clamp(share, 0.0, 1.0)});
        }
        for (customer_key const& key : this->named)
        {
            std::size_t const index = this->index_of(key.first);
            double share = 0;
            for (std::size_t target = 0; target < this->work.size(); ++target)
            {
                region_work const& each = this->work[target];
                auto const found = each.customer_shares.find(key);
                share +=
                    this->region_shares[origin][target] *
                    (found != each.customer_shares.end() ? found->second
                                                         : each.shares[index]);
            }
            if (std::abs(share - plan.ranks[index].share) > share_resolution)
            {
                plan.customers.push_back(
                    {key.second, key.first, std::clamp(share, 0.0, 1.0)});
            }
        }
        return plan;
    }

private:
    /// A region that has lost all its slots keeps requests until the region
    /// plan has moved them. They are planned as if they ran where slots are, in
    /// proportion to these; otherwise their callers would get no share at all.
    void route_around_empty_regions()
    {
        double total = 0;
        for (admission_region const& region : this->regions)
        {
            total += region.slots;
        }
        for (std::vector<double>& row : this->region_shares)
        {
            double unserved = 0;
            for (std::size_t target = 0; target < row.size(); ++target)
            {
                if (this->regions[target].slots <= 0)
                {
                    unserved += row[target];
                    row[target] = 0;
                }
            }
            for (std::size_t target = 0; target < row.size(); ++target)
            {
                row[target] += unserved * this->regions[target].slots / total;
            }
        }
    }

    void collect_ranks()
    {
        std::set<std::uint32_t> found;
        for (admission_region const& region : this->regions)
        {
            for (auto const& [rank, slots] : region.ranks)
            {
                if (slots > 0)
                {
                    found.insert(rank);
                }
            }
        }
        for (std::uint32_t const rank : found)
        {
            if (this->ranks.size() < this->settings.max_ranks)
            {
                this->ranks.push_back(rank);
            }
        }
    }

    /// Index of the least urgent rank that is at least as urgent as `rank`.
    std::size_t index_of(std::uint32_t rank) const
    {
        auto const above =
            std::upper_bound(this->ranks.begin(), this->ranks.end(), rank);
        return above == this->ranks.begin()
                   ? 0
                   : static_cast<std::size_t>(
                         std::distance(this->ranks.begin(), above) - 1);
    }

    void add_demands()
    {
        for (std::size_t target = 0; target < this->work.size(); ++target)
        {
            region_work& each = this->work[target];
            each.demands.assign(this->ranks.size(), 0);
            for (std::size_t origin = 0; origin < this->work.size(); ++origin)
            {
                double const share = this->region_shares[origin][target];
                if (share <= 0)
                {
                    continue;
                }
                for (auto const& [rank, slots] : this->regions[origin].ranks)
                {
                    if (slots > 0)
                    {
                        each.demands[this->index_of(rank)] += share * slots;
                    }
                }
            }
        }
    }

    void admit_ranks()
    {
        for (std::size_t target = 0; target < this->work.size(); ++target)
        {
            region_work& each = this->work[target];
            double const demand =
                std::accumulate(each.demands.begin(), each.demands.end(), 0.0);
            double const capacity =
                this->regions[target].slots * this->settings.planned_capacity;
            each.shares.assign(each.demands.size(), 1);
            if (demand <= capacity)
            {
                continue;
            }
            each.min_share =
                capacity / demand * this->settings.min_relative_share;
            double remaining = capacity - demand * each.min_share;
            for (std::size_t index = 0; index < each.demands.size(); ++index)
            {
                double const wanted =
                    each.demands[index] * (1 - each.min_share);
                double const given = std::min(wanted, remaining);
                remaining -= given;
                // A rank without demand gets what its first request would.
                each.shares[index] =
                    wanted > 0
                        ? each.min_share + (1 - each.min_share) * given / wanted
                    : remaining > 0 ? 1.0
                                    : each.min_share;
            }
        }
    }

    /// Names the largest customers of the ranks that are admitted in part
    /// somewhere.
    void name_customers()
    {
        std::map<customer_key, double> demands;
        for (admission_region const& region : this->regions)
        {
            for (auto const& [key, slots] : region.customers)
            {
                // A customer of a rank without demand contradicts its report.
                if (slots > 0 && this->is_partly_admitted_somewhere(key.first))
                {
                    demands[key] += slots;
                }
            }
        }
        std::vector<std::pair<double, customer_key>> largest;
        largest.reserve(demands.size());
        for (auto const& [key, slots] : demands)
        {
            largest.emplace_back(-slots, key);
        }
        std::size_t const count =
            std::min(largest.size(), this->settings.max_customers);
        std::partial_sort(largest.begin(),
                          largest.begin() + static_cast<std::ptrdiff_t>(count),
                          largest.end());
        for (std::size_t index = 0; index < count; ++index)
        {
            this->named.push_back(largest[index].second);
        }
    }

    bool is_partly_admitted_somewhere(std::uint32_t rank) const
    {
        std::size_t const index = this->index_of(rank);
        return std::any_of(this->work.begin(), this->work.end(),
                           [index](region_work const& each)
                           {
                               return index < each.shares.size() &&
                                      is_partly_admitted(each.shares[index],
                                                         each.min_share);
                           });
    }

    void divide_among_customers()
    {
        this->name_customers();
        for (std::size_t target = 0; target < this->work.size(); ++target)
        {
            region_work& each = this->work[target];
            for (customer_key const& key : this->named)
            {
                double slots = 0;
                for (std::size_t origin = 0; origin < this->work.size();
                     ++origin)
                {
                    auto const found =
                        this->regions[origin].customers.find(key);
                    if (found != this->regions[origin].customers.end())
                    {
                        slots +=
                            this->region_shares[origin][target] * found->second;
                    }
                }
                if (slots > 0)
                {
                    each.customers[key] = slots;
                }
            }
            for (std::size_t index = 0; index < each.shares.size(); ++index)
            {
                if (is_partly_admitted(each.shares[index], each.min_share))
                {
                    this->divide_rank(each, index);
                }
            }
        }
    }

    /// Replaces the share of a rank by that of its customers that are not
    /// named, and sets those of the named ones.
    void divide_rank(region_work& each, std::size_t index) const
    {
        std::vector<fair_demand> demands;
        double named_demand = 0;
        double smallest = 0;
        for (auto const& [key, slots] : each.customers)
        {
            if (this->index_of(key.first) == index)
            {
                demands.push_back({slots, 1});
                named_demand += slots;
                smallest = smallest > 0 ? std::min(smallest, slots) : slots;
            }
        }
        if (demands.empty())
        {
            return;
        }
        double const capacity = each.shares[index] * each.demands[index];
        double const others = std::max(0.0, each.demands[index] - named_demand);
        demands.push_back({smallest, others / smallest});
        double const level = find_fair_level(demands, capacity, each.min_share);
        auto const share_of = [&each, level](double size)
        {
            return std::max(each.min_share, std::min(1.0, level / size));
        };
        for (auto const& [key, slots] : each.customers)
        {
            if (this->index_of(key.first) == index)
            {
                each.customer_shares[key] = share_of(slots);
            }
        }
        each.shares[index] = share_of(smallest);
    }

    admission_planner_settings const& settings;
    std::span<admission_region const> regions;
    std::vector<std::vector<double>> region_shares;
    std::vector<std::uint32_t> ranks;
    std::vector<region_work> work;
    std::vector<customer_key> named;
};

} // namespace

admission_planner::admission_planner(admission_planner_settings const& settings)
    : settings(settings)
{
}

std::vector<admission_plan>
admission_planner::plan(service_id const& service,
                        std::span<admission_region const> regions,
                        std::vector<std::vector<double>> const& shares) const
{
    double slots = 0;
    double demand = 0;
    for (admission_region const& region : regions)
    {
        slots += region.slots;
        for (auto const& [rank, wanted] : region.ranks)
        {
            demand += wanted;
        }
    }
    std::vector<admission_plan> plans;
    if (slots <= 0 || demand <= 0)
    {
        return plans;
    }
    service_planner const planner(this->settings, regions, shares);
    for (std::size_t origin = 0; origin < regions.size(); ++origin)
    {
        plans.push_back(planner.plan_of(service, origin));
    }
    return plans;
}

} // namespace bilberrylead::policy
