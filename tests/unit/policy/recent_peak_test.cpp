#include "bilberrylead/policy/recent_peak.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::recent_peak;

namespace
{

instant const start = instant{} + 1h;

} // namespace

// Guards against shares that add up to ten times the bound: the host that
// counts is replaced, and its successor at first receives messages from only a
// tenth of the other hosts.
Test(recent_peak, smaller_count_of_a_successor_is_ignored_at_first)
{
    recent_peak peak(10s);
    cr_expect_eq(peak.record(270, start), 270U);
    cr_expect_eq(peak.record(27, start + 1s), 270U);
    cr_expect_eq(peak.record(269, start + 3s), 270U);
    cr_expect_eq(peak.record(269, start + 9s), 270U);
}

Test(recent_peak, count_that_stays_smaller_is_accepted_after_the_window)
{
    recent_peak peak(10s);
    peak.record(270, start);
    peak.record(200, start + 5s);
    cr_expect_eq(peak.record(180, start + 10s), 200U);
    cr_expect_eq(peak.record(180, start + 20s), 180U);
}

Test(recent_peak, larger_count_is_accepted_at_once)
{
    recent_peak peak(10s);
    peak.record(10, start);
    cr_expect_eq(peak.record(11, start + 1ms), 11U);
}
