#include "schedule.hpp"

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;

namespace
{

/// Number of steps in a schedule.
constexpr std::size_t steps = 1000;

/// Number of seeds that one test runs; the tests run in parallel.
constexpr std::uint64_t seeds_per_test = 1300;

/// Runs the seeds of the test with this number.
void expect_no_violation(std::uint64_t number, bool wait_after_pause = false)
{
    for (std::uint64_t seed = number * seeds_per_test;
         seed < (number + 1) * seeds_per_test; ++seed)
    {
        std::optional<std::string> const violation =
            schedule(seed, safeguards(), wait_after_pause).run(steps);
        cr_assert_not(violation.has_value(), "seed %lu: %s", seed,
                      violation.value_or("").c_str());
    }
}

} // namespace

Test(schedules, seed_range_0_when_run_shows_no_violation)
{
    expect_no_violation(0);
}

Test(schedules, seed_range_1_when_run_shows_no_violation)
{
    expect_no_violation(1);
}

Test(schedules, seed_range_2_when_run_shows_no_violation)
{
    expect_no_violation(2);
}

Test(schedules, seed_range_3_when_run_shows_no_violation)
{
    expect_no_violation(3);
}

Test(schedules, seed_range_4_when_run_shows_no_violation)
{
    expect_no_violation(4);
}

Test(schedules, seed_range_5_when_run_shows_no_violation)
{
    expect_no_violation(5);
}

Test(schedules, seed_range_6_when_run_shows_no_violation)
{
    expect_no_violation(6);
}

Test(schedules, seed_range_7_when_run_shows_no_violation)
{
    expect_no_violation(7);
}

// As the control hosts run: a leader that was paused waits before it steps
// down.
Test(schedules, seed_range_0_when_leaders_wait_after_pauses_shows_no_violation)
{
    expect_no_violation(0, true);
}

Test(schedules, seed_range_1_when_leaders_wait_after_pauses_shows_no_violation)
{
    expect_no_violation(1, true);
}

Test(schedules, seed_when_run_twice_gives_the_same_group_state)
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
