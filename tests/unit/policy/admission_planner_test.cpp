#include "bilberrylead/policy/admission_planner.hpp"

#include "bilberrylead/policy/region_plan.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

using namespace bilberrylead;
using policy::admission_plan;
using policy::admission_planner;
using policy::admission_planner_settings;
using policy::admission_region;

namespace
{

constexpr double capacity_factor =
    admission_planner_settings{}.planned_capacity;
constexpr double min_relative_share =
    admission_planner_settings{}.min_relative_share;

service_id const service("s");

bool is_near(double left, double right, double tolerance = 0.001)
{
    return std::abs(left - right) < tolerance;
}

customer_id customer(std::size_t number)
{
    return customer_id("c" + std::to_string(number));
}

/// Plan of a single region.
admission_plan plan_one(admission_region const& region)
{
    std::vector<admission_plan> const plans =
        admission_planner().plan(service, {&region, 1}, {{1}});
    cr_assert_eq(plans.size(), 1U);
    return plans.front();
}

double share_of(admission_plan const& plan, std::uint32_t rank)
{
    for (policy::rank_share const& each : plan.ranks)
    {
        if (each.rank == rank)
        {
            return each.share;
        }
    }
    cr_assert_fail("rank %u is not planned", rank);
    return 0;
}

double share_of(admission_plan const& plan, std::uint32_t rank,
                customer_id const& wanted)
{
    for (policy::customer_share_of_rank const& each : plan.customers)
    {
        if (each.rank == rank && each.customer == wanted)
        {
            return each.share;
        }
    }
    return share_of(plan, rank);
}

/// Work in slots that a region admits if the plan is followed exactly.
double admitted(admission_plan const& plan, admission_region const& region)
{
    double sum = 0;
    for (auto const& [rank, slots] : region.ranks)
    {
        sum += share_of(plan, rank) * slots;
    }
    for (auto const& [key, slots] : region.customers)
    {
        sum += (share_of(plan, key.first, key.second) -
                share_of(plan, key.first)) *
               slots;
    }
    return sum;
}

/// Slots of three ranks that each rank is served of, at a host that serves what
/// the plan admits, and uses slots that this leaves idle for the rest. Where
/// the plan admits too much, all admitted requests are equally likely to fail.
std::vector<double> served(admission_plan const& plan,
                           std::vector<double> const& demands, double slots)
{
    std::vector<double> result;
    double sum = 0;
    double demand = 0;
    for (std::size_t rank = 0; rank < demands.size(); ++rank)
    {
        result.push_back(demands[rank] *
                         share_of(plan, static_cast<std::uint32_t>(rank)));
        sum += result.back();
        demand += demands[rank];
    }
    double const idle = std::max(0.0, std::min(slots, demand) - sum);
    for (std::size_t rank = 0; rank < demands.size(); ++rank)
    {
        if (sum > slots)
        {
            result[rank] *= slots / sum;
        }
        else if (demand > sum)
        {
            result[rank] +=
                idle * (demands[rank] - result[rank]) / (demand - sum);
        }
    }
    return result;
}

} // namespace

Test(admission_planner, everything_is_admitted_while_there_is_enough_room)
{
    admission_region region{region_id("r"),
                            100,
                            {{0, 20}, {1, 50}, {2, 20}},
                            {{{1, customer(1)}, 45}}};
    admission_plan const plan = plan_one(region);
    cr_expect_eq(plan.service, service);
    cr_expect_eq(plan.region, region_id("r"));
    for (policy::rank_share const& each : plan.ranks)
    {
        cr_expect(is_near(each.share, 1));
    }
    cr_expect(plan.customers.empty());
}

// Demand of 1.2 and 1.5 times the slots in three ranks. Guards against
// refusing urgent requests, and against refusing a rank entirely.
Test(admission_planner, excess_demand_is_refused_of_the_least_urgent_rank)
{
    for (double const load : {1.2, 1.5, 3.0})
    {
        admission_region const region{
            region_id("r"),
            100,
            {{0, 30 * load}, {1, 40 * load}, {2, 30 * load}},
            {}};
        admission_plan const plan = plan_one(region);
        double const overall = 100 * capacity_factor / (100 * load);
        cr_expect(is_near(admitted(plan, region), 100 * capacity_factor));
        cr_expect(is_near(share_of(plan, 0), 1));
        cr_expect(share_of(plan, 0) >= share_of(plan, 1));
        cr_expect(share_of(plan, 1) >= share_of(plan, 2));
        cr_expect(share_of(plan, 2) >= overall * min_relative_share - 0.001);
    }
}

// The most urgent rank alone exceeds the capacity.
Test(admission_planner, less_urgent_ranks_keep_a_minimum_share)
{
    admission_region const region{
        region_id("r"), 100, {{0, 400}, {1, 50}, {2, 50}}, {}};
    admission_plan const plan = plan_one(region);
    double const overall = 100 * capacity_factor / 500;
    cr_expect(is_near(share_of(plan, 1), overall * min_relative_share));
    cr_expect(is_near(share_of(plan, 2), overall * min_relative_share));
    cr_expect(share_of(plan, 0) > overall);
    cr_expect(is_near(admitted(plan, region), 100 * capacity_factor));
}

// One customer sends 8 times as much as each of the nine others. Guards
// against its requests displacing those of customers within their fair share.
Test(admission_planner, pressing_customer_is_limited_to_its_fair_share)
{
    admission_region region{region_id("r"), 100, {{1, 170}}, {}};
    region.customers[{1, customer(0)}] = 80;
    for (std::size_t number = 1; number < 10; ++number)
    {
        region.customers[{1, customer(number)}] = 10;
    }
    admission_plan const plan = plan_one(region);
    for (std::size_t number = 1; number < 10; ++number)
    {
        cr_expect(is_near(share_of(plan, 1, customer(number)), 1));
    }
    cr_expect(is_near(share_of(plan, 1), 1), "customers that are not named");
    cr_expect_eq(plan.customers.size(), 1U);
    double const rest = 100 * capacity_factor - 90;
    cr_expect(is_near(share_of(plan, 1, customer(0)), rest / 80));
    cr_expect(share_of(plan, 1, customer(0)) >=
              min_relative_share * 100 * capacity_factor / 170);
}

// A customer whose fair share is a small part of its demand.
Test(admission_planner, pressing_customer_is_not_starved)
{
    admission_region region{region_id("r"), 100, {{1, 1100}}, {}};
    region.customers[{1, customer(0)}] = 1000;
    for (std::size_t number = 1; number <= 100; ++number)
    {
        region.customers[{1, customer(number)}] = 1;
    }
    admission_plan const plan = plan_one(region);
    cr_expect(is_near(share_of(plan, 1, customer(0)),
                      min_relative_share * 100 * capacity_factor / 1100));
    cr_expect(is_near(admitted(plan, region), 100 * capacity_factor, 0.5));
}

Test(admission_planner, equal_customers_get_equal_shares)
{
    admission_region region{region_id("r"), 100, {{1, 200}}, {}};
    for (std::size_t number = 0; number < 20; ++number)
    {
        region.customers[{1, customer(number)}] = 10;
    }
    admission_plan const plan = plan_one(region);
    cr_expect(plan.customers.empty(), "all have the share of their rank");
    cr_expect(is_near(share_of(plan, 1), 100 * capacity_factor / 200));
}

// A rank that a host lists without demand, with a customer in it.
Test(admission_planner, rank_without_demand_takes_no_capacity)
{
    admission_region region{
        region_id("r"), 100, {{0, 60}, {1, 0}, {2, 90}}, {}};
    region.customers[{1, customer(1)}] = 0;
    admission_plan const plan = plan_one(region);
    cr_expect_eq(plan.ranks.size(), 2U);
    cr_expect(is_near(share_of(plan, 0), 1));
    cr_expect(is_near(share_of(plan, 2), (100 * capacity_factor - 60) / 90));
}

Test(admission_planner, number_of_ranks_and_customers_is_bounded)
{
    admission_region region{region_id("r"), 100, {}, {}};
    for (std::uint32_t rank = 0; rank < 40; ++rank)
    {
        region.ranks[rank * 3] = 10;
    }
    admission_plan const plan = plan_one(region);
    cr_expect_eq(plan.ranks.size(), admission_planner_settings{}.max_ranks);
    cr_expect(is_near(share_of(plan, 0), 1));
    for (std::size_t index = 1; index < plan.ranks.size(); ++index)
    {
        cr_expect(plan.ranks[index - 1].rank < plan.ranks[index].rank);
        cr_expect(plan.ranks[index - 1].share >= plan.ranks[index].share);
    }
}

// The second region has a third of the callers and a tenth of the slots, the
// fourth has none. Guards against shares that depend on where a caller is.
Test(admission_planner, regions_with_uneven_slots_admit_alike)
{
    std::vector<double> const slots{420, 40, 360, 0};
    std::vector<admission_region> regions;
    std::vector<policy::region_capacity> capacities;
    double total = 0;
    for (std::size_t index = 0; index < slots.size(); ++index)
    {
        double const demand = 300;
        admission_region region{region_id("r" + std::to_string(index)),
                                slots[index],
                                {{0, demand * 0.3}, {2, demand * 0.7}},
                                {}};
        regions.push_back(region);
        capacities.push_back({demand, slots[index], 10});
        total += slots[index];
    }
    policy::region_plan_settings settings;
    settings.refuses_before_routing = true;
    std::vector<std::vector<double>> const shares =
        policy::plan_regions(capacities, settings);
    std::vector<admission_plan> const plans =
        admission_planner().plan(service, regions, shares);
    cr_assert_eq(plans.size(), regions.size());
    double const rest = total * capacity_factor - 0.3 * 1200;
    for (admission_plan const& plan : plans)
    {
        cr_expect(is_near(share_of(plan, 0), 1), "rank 0 of %s is %f",
                  plan.region.text().c_str(), share_of(plan, 0));
        cr_expect(is_near(share_of(plan, 2), rest / (0.7 * 1200)),
                  "rank 2 of %s is %f", plan.region.text().c_str(),
                  share_of(plan, 2));
    }
}

// All slots of a region are lost and the region plan has not yet followed.
// Guards against refusing all requests of its callers.
Test(admission_planner, region_that_lost_its_slots_is_not_starved)
{
    std::vector<admission_region> const regions{
        {region_id("a"), 0, {{0, 40}, {1, 60}}, {}},
        {region_id("b"), 100, {{0, 40}, {1, 60}}, {}}};
    std::vector<admission_plan> const plans =
        admission_planner().plan(service, regions, {{1, 0}, {0, 1}});
    cr_assert_eq(plans.size(), 2U);
    cr_expect(is_near(share_of(plans[0], 0), 1));
    cr_expect(share_of(plans[0], 1) >=
              min_relative_share * 100 * capacity_factor / 200 - 0.001);
    cr_expect(is_near(share_of(plans[0], 1), share_of(plans[1], 1)));
}

// No upstream is known, for example because the configuration states them
// instead of a list.
Test(admission_planner, service_without_slots_or_demand_is_not_planned)
{
    admission_region const without_slots{region_id("r"), 0, {{0, 40}}, {}};
    cr_expect(
        admission_planner().plan(service, {&without_slots, 1}, {{1}}).empty());
    admission_region const without_demand{region_id("r"), 100, {}, {}};
    cr_expect(
        admission_planner().plan(service, {&without_demand, 1}, {{1}}).empty());
    cr_expect(admission_planner().plan(service, {}, {}).empty());
}

// 10,000 customers, of which a few are large. Only the largest are named.
Test(admission_planner, large_customers_among_ten_thousand_are_limited)
{
    admission_region region{region_id("r"), 1000, {{1, 0}}, {}};
    for (std::size_t number = 0; number < 10'000; ++number)
    {
        region.customers[{1, customer(number)}] = number < 8 ? 60.0 : 0.1;
    }
    region.ranks[1] = 480 + 9992 * 0.1;
    admission_plan const plan = plan_one(region);
    cr_expect(plan.customers.size() <=
              admission_planner_settings{}.max_customers);
    cr_expect(is_near(share_of(plan, 1), 1));
    for (std::size_t number = 0; number < 8; ++number)
    {
        cr_expect(share_of(plan, 1, customer(number)) < 0.3);
    }
    cr_expect(share_of(plan, 1, customer(9'000)) == share_of(plan, 1));
}

// Demand that hosts state too low or too high by half. Guards against idle
// slots, and against urgent requests that fail more often than others.
Test(admission_planner, demand_wrong_by_half_costs_little)
{
    std::vector<double> const parts{0.3, 0.4, 0.3};
    for (double const load : {0.8, 1.0, 1.2, 1.5})
    {
        for (double const error : {0.5, 0.67, 1.0, 1.5, 2.0})
        {
            admission_region stated{region_id("r"), 100, {}, {}};
            std::vector<double> real;
            for (std::size_t rank = 0; rank < parts.size(); ++rank)
            {
                real.push_back(parts[rank] * 100 * load);
                stated.ranks[static_cast<std::uint32_t>(rank)] =
                    real.back() * error;
            }
            std::vector<double> const result =
                served(plan_one(stated), real, 100);
            double sum = 0;
            for (std::size_t rank = 0; rank < result.size(); ++rank)
            {
                sum += result[rank];
                cr_expect(rank == 0 || result[rank - 1] / real[rank - 1] >=
                                           result[rank] / real[rank] - 0.05,
                          "load %f, error %f, rank %zu", load, error, rank);
            }
            cr_expect(sum >= 0.95 * std::min(100.0, 100 * load),
                      "load %f, error %f: %f slots in use", load, error, sum);
            // Stated too low, the plan refuses too little; the hosts refuse the
            // remainder without a plan.
            double const unplanned = std::min(1.0, 1 / load);
            cr_expect(result[0] / real[0] >= unplanned - 0.001);
        }
    }
}
