#include "bilberrylead/policy/access_probability.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::access_probability;
using policy::report_state;

namespace
{

constexpr double rate = 2;
constexpr duration step = 100ms;

/// Offers `demand` requests a second for `time` while tokens are always
/// available; returns the requests that were sent.
double offer(access_probability& access, double demand, duration time,
             report_state reports)
{
    policy::generator random(3);
    double sent = 0;
    for (duration passed{}; passed < time; passed += step)
    {
        access.advance(step, step, rate, reports);
        double const expected = demand / 10 * access.value(reports);
        if (random.unit() < expected)
        {
            access.record_sent(1);
            sent += 1;
        }
    }
    return sent;
}

} // namespace

Test(access_probability, hosts_offer_a_little_more_than_the_limit)
{
    access_probability access({});
    access.restart(rate, 1);
    offer(access, 8, 60s, report_state::timely);
    double const sent = offer(access, 8, 60s, report_state::timely);
    cr_expect_geq(sent, rate * 60, "%.0f sent", sent);
    cr_expect_leq(sent, 1.8 * rate * 60, "%.0f sent", sent);
}

// Guards against a sum over the limit while reports are late.
Test(access_probability, hosts_offer_less_than_the_limit_while_reports_are_late)
{
    access_probability access({});
    access.restart(rate, 8);
    offer(access, 8, 60s, report_state::late);
    double const sent = offer(access, 8, 60s, report_state::late);
    cr_expect_leq(sent, rate * 60, "%.0f sent", sent);
}

// Guards against a probability that grows at once when reports stay away, and
// against one that never grows again.
Test(access_probability, grows_slowly_without_reports)
{
    access_probability access({});
    access.restart(rate, 80);
    double const before = access.value(report_state::missing);
    access.advance(3s, 3s, rate, report_state::missing);
    cr_expect_leq(access.value(report_state::missing), 1.4 * before);
    for (int second = 0; second < 60; ++second)
    {
        access.advance(1s, 1s, rate, report_state::missing);
    }
    cr_expect_geq(access.value(report_state::missing), 10 * before);
}

Test(access_probability, is_1_where_the_demand_is_below_the_limit)
{
    access_probability access({});
    access.restart(rate, 0.5);
    cr_expect_eq(access.value(report_state::timely), 1);
    offer(access, 0.5, 60s, report_state::timely);
    cr_expect_eq(access.value(report_state::timely), 1);
}
