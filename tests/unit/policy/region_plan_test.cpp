#include "bilberrylead/policy/region_plan.hpp"

#include "bilberrylead/policy/arrival_rate.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/region_shares.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cmath>
#include <cstddef>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::plan_regions;
using policy::region_capacity;
using policy::region_shares;

namespace
{

instant const start = instant{} + 1h;

bool is_near(double left, double right)
{
    return std::abs(left - right) < 0.001;
}

policy::generator test_random{7};

} // namespace

Test(plan_regions, requests_stay_in_their_region_while_it_has_capacity)
{
    std::vector<region_capacity> const regions{{5, 24}, {2, 6}, {5, 18}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    for (std::size_t region = 0; region < regions.size(); ++region)
    {
        cr_expect(is_near(shares[region][region], 1));
    }
}

// The second region has a third of the callers and an eighth of the slots.
Test(plan_regions, excess_demand_goes_to_regions_with_spare_capacity)
{
    std::vector<region_capacity> const regions{
        {8, 24, 3}, {8, 6, 3}, {8, 18, 3}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    cr_expect(shares[1][1] < 0.5);
    cr_expect(shares[1][0] > shares[1][2],
              "a region with more spare capacity gets a larger share");
    cr_expect(is_near(shares[1][0] + shares[1][1] + shares[1][2], 1));
    cr_expect(is_near(shares[0][0], 1));
}

// Entry hosts refuse the excess before they route. Guards against excess work
// that stays in a region with few slots while others have room.
Test(plan_regions, admitted_demand_loads_all_regions_equally)
{
    std::vector<double> const slots{420, 40, 360, 0};
    std::vector<region_capacity> regions;
    regions.reserve(slots.size());
    for (double const each : slots)
    {
        regions.push_back({300, each, 10});
    }
    policy::region_plan_settings settings;
    settings.refuses_before_routing = true;
    std::vector<std::vector<double>> const shares =
        plan_regions(regions, settings);
    double const admitted = 820 * settings.max_utilization / 1200;
    for (std::size_t target = 0; target < slots.size(); ++target)
    {
        double work = 0;
        for (std::size_t origin = 0; origin < slots.size(); ++origin)
        {
            work += 300 * admitted * shares[origin][target];
        }
        cr_expect(is_near(work, slots[target] * settings.max_utilization));
    }
}

// The demand exceeds the capacity of all regions. Guards against refusing only
// the callers of a region with few slots.
Test(plan_regions, overload_serves_the_same_share_of_every_region)
{
    std::vector<region_capacity> const regions{{30, 24}, {30, 6}, {30, 18}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    double const served = 48 * 0.9 / 90;
    double const remote = (shares[1][0] + shares[1][2]) * 30;
    cr_expect(is_near(remote + 6 * 0.9, served * 30));
    cr_expect(is_near(shares[0][0], 1));
}

Test(plan_regions, region_without_callers_or_slots_does_not_divide_by_zero)
{
    std::vector<region_capacity> const regions{{0, 0}, {10, 0}, {0, 30}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    cr_expect(is_near(shares[0][0], 1));
    cr_expect(is_near(shares[1][2], 1));
    std::vector<region_capacity> const without_slots{{5, 0}, {5, 0}};
    cr_expect(is_near(plan_regions(without_slots)[0][0], 1));
}

// Guards against callers of a region with few slots that receive "not run" in
// the first seconds after a start. No request has run yet, so no demand is
// known; with all requests starting in their own region, the bounded
// rate of change would need ten seconds to move them.
Test(plan_regions, region_with_few_slots_is_relieved_before_demand_is_known)
{
    std::vector<region_capacity> const regions{
        {0, 99, 25}, {0, 396, 22}, {0, 468, 24}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    cr_expect_lt(shares[0][0], 0.4);
    cr_expect(is_near(shares[0][0] + shares[0][1] + shares[0][2], 1));
    cr_expect(is_near(shares[1][1], 1));
    cr_expect(is_near(shares[2][2], 1));
}

// Guards against a plan that returns all requests to their own regions once the
// first few requests have been measured.
Test(plan_regions, low_measured_demand_does_not_override_expected_demand)
{
    std::vector<region_capacity> const without_demand{
        {0, 99, 25}, {0, 396, 22}, {0, 468, 24}};
    std::vector<region_capacity> const with_first_demand{
        {20, 99, 25}, {18, 396, 22}, {19, 468, 24}};
    double const before = plan_regions(without_demand)[0][0];
    cr_expect_lt(std::abs(plan_regions(with_first_demand)[0][0] - before),
                 0.05);
}

// The expected demand has no effect once the measured demand reaches it.
Test(plan_regions, measured_demand_replaces_expected_demand)
{
    std::vector<region_capacity> const hosts{
        {13, 24, 50}, {13, 6, 1}, {13, 18, 1}};
    std::vector<region_capacity> const none{
        {13, 24, 0}, {13, 6, 0}, {13, 18, 0}};
    cr_expect(is_near(plan_regions(hosts)[1][1], plan_regions(none)[1][1]));
}

// Guards against moving all callers at once when the plan changes abruptly: a
// new leader plans from incomplete data, or the traffic of a region doubles.
Test(region_shares, abrupt_plan_change_is_followed_at_the_bounded_rate)
{
    region_shares shares(0.05);
    shares.set_target({{10, 1}, {11, 0}, {12, 0}}, start);
    shares.next_region(0, start, test_random);
    shares.set_target({{10, 0.2}, {11, 0.5}, {12, 0.3}}, start);
    shares.next_region(0, start + 2s, test_random);
    cr_expect(is_near(shares.current()[0], 0.9));
    shares.next_region(0, start + 60s, test_random);
    cr_expect(is_near(shares.current()[0], 0.2));
    cr_expect(is_near(shares.current()[1], 0.5));
}

Test(region_shares, first_plan_takes_effect_at_once)
{
    region_shares shares(0.05);
    shares.set_target({{10, 0.4}, {11, 0.6}}, start);
    cr_expect(is_near(shares.current()[0], 0.4));
}

// An entry host discovers the upstreams of a third region after its first plan.
// If the new plan took effect at once, half of the callers of a region would
// move within a second wherever hosts discover the region together.
Test(region_shares, new_region_gains_its_share_at_the_bounded_rate)
{
    region_shares shares(0.05);
    shares.set_target({{10, 0.7}, {11, 0.3}}, start);
    shares.next_region(0, start, test_random);
    shares.set_target({{10, 0.3}, {11, 0.2}, {12, 0.5}}, start + 1s);
    shares.next_region(0, start + 3s, test_random);
    cr_expect(is_near(shares.current()[2], 0.1));
    shares.next_region(0, start + 60s, test_random);
    cr_expect(is_near(shares.current()[2], 0.5));
}

// A region is emptied. Guards against making up for the requests that it was
// behind when its share ended: the region has no upstream for them.
Test(region_shares, region_that_lost_its_share_gets_no_more_requests)
{
    region_shares shares(0.05);
    shares.set_target({{10, 0.3}, {11, 0.3}, {12, 0.4}}, start);
    for (std::uint64_t request = 1; request <= 100; ++request)
    {
        shares.next_region(request * 31, start, test_random);
    }
    shares.set_target({{10, 0}, {11, 0}, {12, 1}}, start);
    int elsewhere = 0;
    for (std::uint64_t request = 1; request <= 100; ++request)
    {
        elsewhere +=
            shares.next_region(request * 31, start + 60s, test_random) == 2 ? 0
                                                                            : 1;
    }
    cr_expect_leq(elsewhere, 2);
}

// Guards against random variation, which alone would move one request in ten
// from one second to the next; callers would see it as a shift of their region.
Test(region_shares, every_few_requests_keep_the_shares)
{
    region_shares shares(0.05);
    shares.set_target({{10, 0.62}, {11, 0.38}}, start);
    int in_first_region = 0;
    for (std::uint64_t request = 0; request < 500; ++request)
    {
        in_first_region +=
            shares.next_region(request * 31 + 1, start, test_random) == 0 ? 1
                                                                          : 0;
        double const wanted = 0.62 * static_cast<double>(request + 1);
        cr_expect_lt(std::abs(in_first_region - wanted), 3.0);
    }
}

// Guards against hosts that all start their sequence of regions alike: the
// first requests of all of them would run in one region.
Test(region_shares, first_requests_of_many_hosts_keep_the_shares)
{
    constexpr int hosts = 400;
    int in_first_region = 0;
    for (std::uint64_t host = 1; host <= hosts; ++host)
    {
        policy::generator own(host);
        region_shares shares(0.05);
        shares.set_target({{10, 0.62}, {11, 0.38}}, start);
        in_first_region += shares.next_region(0, start, own) == 0 ? 1 : 0;
    }
    cr_expect_lt(std::abs(in_first_region - 0.62 * hosts), 0.1 * hosts);
}

// Requests without an object are assigned to regions at random, but each region
// still gets its share over any few of them.
Test(region_shares, every_few_requests_without_an_object_keep_the_shares)
{
    region_shares shares(0.05);
    shares.set_target({{10, 0.62}, {11, 0.38}}, start);
    int in_first_region = 0;
    for (int request = 1; request <= 500; ++request)
    {
        in_first_region +=
            shares.next_region(0, start, test_random) == 0 ? 1 : 0;
        cr_expect_lt(std::abs(in_first_region - 0.62 * request), 3.0);
    }
}

Test(region_shares, object_runs_mostly_in_its_own_region)
{
    region_shares shares(0.05);
    shares.set_target({{10, 0.5}, {11, 0.5}}, start);
    std::vector<int> in_first_region(20, 0);
    for (int round = 0; round < 200; ++round)
    {
        for (std::uint64_t object = 1; object <= 20; ++object)
        {
            in_first_region[object - 1] +=
                shares.next_region(object, start, test_random) == 0 ? 1 : 0;
        }
    }
    int in_one_region = 0;
    for (int const count : in_first_region)
    {
        in_one_region += count < 50 || count > 150 ? 1 : 0;
    }
    cr_expect_geq(in_one_region, 12);
}

// An entry host restarts and discovers the regions in another order than its
// peers. If it assigned objects differently, every object would be cached in
// two regions, and each first run there would be late.
Test(region_shares, object_has_the_same_region_for_any_order_of_regions)
{
    region_shares first_host(0.05);
    first_host.set_target({{11, 0.5}, {12, 0.3}, {13, 0.2}}, start);
    region_shares second_host(0.05);
    second_host.set_target({{13, 0.2}, {11, 0.5}, {12, 0.3}}, start);
    std::vector<std::uint64_t> const first{11, 12, 13};
    std::vector<std::uint64_t> const second{13, 11, 12};
    for (std::uint64_t object = 1; object <= 500; ++object)
    {
        cr_expect_eq(
            first[first_host.next_region(object * 977, start, test_random)],
            second[second_host.next_region(object * 977, start, test_random)]);
    }
}

// Share moves from the second region to the third. Objects of the first region
// must not move: they are not cached in any other region.
Test(region_shares, share_change_moves_few_other_objects)
{
    int moved = 0;
    for (std::uint64_t object = 1; object <= 2000; ++object)
    {
        region_shares before(0.05);
        before.set_target({{11, 0.4}, {12, 0.4}, {13, 0.2}}, start);
        region_shares after(0.05);
        after.set_target({{11, 0.4}, {12, 0.2}, {13, 0.4}}, start);
        std::size_t const old =
            before.next_region(object * 977, start, test_random);
        std::size_t const chosen =
            after.next_region(object * 977, start, test_random);
        moved += old == 0 && chosen != 0 ? 1 : 0;
    }
    cr_expect_lt(
        moved, 160,
        "a tenth of the 800 objects, doubled to allow for random variation");
}

Test(arrival_rate, rate_follows_arrivals)
{
    policy::arrival_rate rate(1500ms);
    for (duration passed{}; passed < 10s; passed += 20ms)
    {
        rate.add(start + passed);
    }
    cr_expect_lt(std::abs(rate.per_second(start + 10s) - 50), 2.0);
    cr_expect_lt(rate.per_second(start + 20s), 0.2);
}
