#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/plan_follower.hpp"

#include <criterion/criterion.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t seconds = 120;
constexpr std::size_t hosts = 9;
constexpr std::uint32_t cap = 100;

/// Steps of three leaders: each starts from the last committed one, moves
/// up to the cap there or back, and the old leaders' steps stay around.
std::vector<plan_step> draw_steps(generator& random)
{
    std::vector<plan_step> steps;
    traffic_shares shares(3);
    for (std::uint64_t number = 1; number <= seconds / 10; ++number)
    {
        std::size_t const source = random.below(3);
        std::size_t const target = random.below(3);
        shares.move(1, source, target, random.below(cap + 1));
        steps.push_back({1 + number / 5, number, shares, 15s});
    }
    return steps;
}

/// Largest move that any host made within an interval.
std::uint32_t largest_move(std::uint64_t seed,
                           shift_planner_settings const& settings)
{
    generator random(seed);
    std::vector<plan_step> const steps = draw_steps(random);
    std::vector<plan_follower> followers(
        hosts, plan_follower(traffic_shares(3), settings));
    std::vector<std::vector<traffic_shares>> applied(hosts);
    std::uint32_t largest = 0;
    for (std::size_t second = 0; second < seconds; ++second)
    {
        instant const now(second * 1s);
        for (std::size_t host = 0; host < hosts; ++host)
        {
            // Any step so far may arrive, late, twice and out of order.
            plan_step const& step = steps[random.below(
                static_cast<std::uint32_t>(1 + second / 10))];
            if (random.below(4) == 0)
            {
                followers[host].take(step, now - random.below(20) * 1s, now);
            }
            followers[host].advance(now);
            applied[host].push_back(followers[host].applied());
            for (std::size_t back = 1; back < 10 && back <= second; ++back)
            {
                largest = std::max(largest,
                                   applied[host][second - back].largest_change(
                                       applied[host][second]));
            }
        }
    }
    return largest;
}

} // namespace

// What callers see when it breaks: a whole region's callers land on another
// region within seconds. Steps of three leaders reach nine hosts late, twice,
// out of order, some never. No host may move more than the cap within any
// interval; then the sum over all hosts cannot either.
Test(plan_follower, no_schedule_of_deliveries_moves_more_than_the_cap)
{
    shift_planner_settings off;
    off.interval = {};
    std::uint32_t without_rule = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        std::uint32_t const moved = largest_move(seed, {});
        cr_assert_leq(moved, cap, "seed %lu moved %u",
                      static_cast<unsigned long>(seed), moved);
        without_rule = std::max(without_rule, largest_move(seed, off));
    }
    cr_assert_gt(without_rule, cap);
}
