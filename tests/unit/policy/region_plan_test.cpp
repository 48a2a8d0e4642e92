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

Test(plan_regions, requests_stay_at_home_while_there_is_room)
{
    std::vector<region_capacity> const regions{{5, 24}, {2, 6}, {5, 18}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    for (std::size_t region = 0; region < regions.size(); ++region)
    {
        cr_expect(is_near(shares[region][region], 1));
    }
}

// A third of the callers, an eighth of the slots.
Test(plan_regions, what_a_region_lacks_goes_where_there_is_room)
{
    std::vector<region_capacity> const regions{
        {8, 24, 3}, {8, 6, 3}, {8, 18, 3}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    cr_expect(shares[1][1] < 0.5);
    cr_expect(shares[1][0] > shares[1][2], "more goes where more is spare");
    cr_expect(is_near(shares[1][0] + shares[1][1] + shares[1][2], 1));
    cr_expect(is_near(shares[0][0], 1));
}

// More is asked for than all regions have: callers of a region with few
// slots must not be the only ones that are refused.
Test(plan_regions, overload_leaves_every_region_the_same_part)
{
    std::vector<region_capacity> const regions{{30, 24}, {30, 6}, {30, 18}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    double const served = 48 * 0.9 / 90;
    double const remote = (shares[1][0] + shares[1][2]) * 30;
    cr_expect(is_near(remote + 6 * 0.9, served * 30));
    cr_expect(is_near(shares[0][0], 1));
}

Test(plan_regions, region_without_callers_or_slots_is_no_division_by_zero)
{
    std::vector<region_capacity> const regions{{0, 0}, {10, 0}, {0, 30}};
    std::vector<std::vector<double>> const shares = plan_regions(regions);
    cr_expect(is_near(shares[0][0], 1));
    cr_expect(is_near(shares[1][2], 1));
    std::vector<region_capacity> const nothing{{5, 0}, {5, 0}};
    cr_expect(is_near(plan_regions(nothing)[0][0], 1));
}

// Callers of a region with few slots hear "not run" in the first seconds:
// nothing has run yet, so no demand is known, all of them start at home, and
// the bounded pace needs ten seconds to move them.
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

// The first few requests must not bring everybody home again.
Test(plan_regions, little_demand_does_not_undo_what_is_expected)
{
    std::vector<region_capacity> const calm{
        {0, 99, 25}, {0, 396, 22}, {0, 468, 24}};
    std::vector<region_capacity> const starting{
        {20, 99, 25}, {18, 396, 22}, {19, 468, 24}};
    double const before = plan_regions(calm)[0][0];
    cr_expect_lt(std::abs(plan_regions(starting)[0][0] - before), 0.05);
}

// What is measured counts as soon as it is as much as was expected.
Test(plan_regions, measured_demand_replaces_what_is_expected)
{
    std::vector<region_capacity> const hosts{
        {13, 24, 50}, {13, 6, 1}, {13, 18, 1}};
    std::vector<region_capacity> const none{
        {13, 24, 0}, {13, 6, 0}, {13, 18, 0}};
    cr_expect(is_near(plan_regions(hosts)[1][1], plan_regions(none)[1][1]));
}

// A leader that took over plans from an empty picture, or traffic of a
// region doubles: the callers must not move all at once.
Test(region_shares, plan_that_jumps_is_followed_at_the_bounded_pace)
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

Test(region_shares, first_plan_is_taken_over_at_once)
{
    region_shares shares(0.05);
    shares.set_target({{10, 0.4}, {11, 0.6}}, start);
    cr_expect(is_near(shares.current()[0], 0.4));
}

// An entry host hears of the upstreams of a third region after its first
// plan. Taken over at once, the new plan would move half of the callers of a
// region within a second, wherever hosts learn of it together.
Test(region_shares, region_that_is_new_gets_its_share_at_the_bounded_pace)
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

// A region is emptied. What it was behind when its share ended is not made up
// for: its callers would find no upstream there.
Test(region_shares, region_that_lost_its_share_gets_nothing_more)
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

// Chance alone moves one request in ten from one second to the next, which
// callers would see as a shift of their region.
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

// Guards against hosts whose turns among regions begin alike: the first
// requests of all of them would run in one region.
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

// Requests without an object are drawn to regions, and over any few of them
// each region has its share all the same.
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
    int sure = 0;
    for (int const count : in_first_region)
    {
        sure += count < 50 || count > 150 ? 1 : 0;
    }
    cr_expect_geq(sure, 12);
}

// An entry host starts anew and hears of the regions in another order than
// its neighbours. If it sent objects elsewhere, every object would be known
// in two regions, and each first run there would be late.
Test(region_shares, object_has_its_region_in_whatever_order_regions_came)
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

// The callers of a region move from a second region to a third. Objects that
// stay at home must not move: nobody knows them elsewhere.
Test(region_shares, share_that_moves_takes_few_other_objects_along)
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
    cr_expect_lt(moved, 160, "a tenth of the 800 at home, twice for chance");
}

Test(arrival_rate, rate_follows_what_arrives)
{
    policy::arrival_rate rate(1500ms);
    for (duration passed{}; passed < 10s; passed += 20ms)
    {
        rate.add(start + passed);
    }
    cr_expect_lt(std::abs(rate.per_second(start + 10s) - 50), 2.0);
    cr_expect_lt(rate.per_second(start + 20s), 0.2);
}
