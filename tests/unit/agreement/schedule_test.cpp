#include "schedule.hpp"

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;

namespace
{

/// How many steps a schedule takes.
constexpr std::size_t steps = 1000;

/// How many schedules one test runs; the tests run side by side.
constexpr std::uint64_t share = 1300;

/// Runs the share of schedules with this number.
void expect_no_breach(std::uint64_t number)
{
    for (std::uint64_t seed = number * share; seed < (number + 1) * share;
         ++seed)
    {
        std::optional<std::string> const breach =
            schedule(seed, safeguards()).run(steps);
        cr_assert_not(breach.has_value(), "seed %lu: %s", seed,
                      breach.value_or("").c_str());
    }
}

} // namespace

Test(schedules, share_0_when_run_shows_no_breach)
{
    expect_no_breach(0);
}

Test(schedules, share_1_when_run_shows_no_breach)
{
    expect_no_breach(1);
}

Test(schedules, share_2_when_run_shows_no_breach)
{
    expect_no_breach(2);
}

Test(schedules, share_3_when_run_shows_no_breach)
{
    expect_no_breach(3);
}

Test(schedules, share_4_when_run_shows_no_breach)
{
    expect_no_breach(4);
}

Test(schedules, share_5_when_run_shows_no_breach)
{
    expect_no_breach(5);
}

Test(schedules, share_6_when_run_shows_no_breach)
{
    expect_no_breach(6);
}

Test(schedules, share_7_when_run_shows_no_breach)
{
    expect_no_breach(7);
}

Test(schedules, seed_when_run_twice_does_the_same)
{
    for (std::uint64_t seed = 0; seed < 40; ++seed)
    {
        schedule first(seed, safeguards());
        schedule second(seed, safeguards());
        first.run(steps);
        second.run(steps);
        cr_assert_eq(first.describe(), second.describe());
    }
}
