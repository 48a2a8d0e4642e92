#include "bilberrylead/policy/momentary_slowdown.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/report_validity.hpp"

#include <criterion/criterion.h>

#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

namespace
{

instant const start = instant{} + 1h;

/// Load: one entry host sends 25 upstreams two requests a second each. Each
/// upstream draws its speed anew once per period: for 0.15 of the time, work
/// takes 2.5 times as long.
class slow_moments
{
public:
    slow_moments(duration changes_every, std::uint64_t seed)
        : period(changes_every), seed_bits(seed << 40U), random(seed)
    {
    }

    void run_for(duration time)
    {
        instant const end = this->now + time;
        while (this->now < end)
        {
            std::chrono::duration<double> const gap(
                -std::log(1.0 - this->random.unit()) / 50);
            this->now += std::chrono::duration_cast<duration>(gap);
            std::uint32_t const upstream = this->random.below(25);
            this->upstreams[upstream].record(this->factor_of(upstream),
                                             this->validity, this->now);
        }
    }

    report_validity validity;

private:
    double factor_of(std::uint32_t upstream) const
    {
        std::int64_t const number = this->now.time_since_epoch() / this->period;
        generator draw(this->seed_bits ^ (std::uint64_t{upstream} << 32U) ^
                       static_cast<std::uint64_t>(number));
        return draw.unit() < 0.15 ? 2.5 : 1.0;
    }

    duration period;
    std::uint64_t seed_bits;
    generator random;
    instant now = start;
    std::array<momentary_slowdown, 25> upstreams;
};

constexpr std::uint64_t seeds = 20;

} // namespace

Test(momentary_slowdown, without_a_report_work_takes_as_long_as_usual)
{
    momentary_slowdown const upstream;
    cr_expect_eq(upstream.factor(report_validity(), start), 1.0);
}

// Guards against an upstream that is avoided, or preferred, by a report that
// nothing confirms any more.
Test(momentary_slowdown, report_loses_its_weight_and_then_has_none)
{
    report_validity validity;
    momentary_slowdown upstream;
    upstream.record(2.5, validity, start);
    cr_expect_eq(upstream.factor(validity, start), 2.5);
    double const half_way =
        upstream.factor(validity, start + validity.validity() / 2);
    cr_expect(half_way > 1.7 && half_way < 1.8, "%f", half_way);
    cr_expect_eq(upstream.factor(validity, start + validity.validity()), 1.0);
    cr_expect_eq(upstream.factor(validity, start + 1h), 1.0);
}

Test(momentary_slowdown, newest_report_replaces_the_one_before)
{
    report_validity validity;
    momentary_slowdown upstream;
    upstream.record(2.5, validity, start);
    upstream.record(1, validity, start + 10ms);
    cr_expect_eq(upstream.factor(validity, start + 10ms), 1.0);
}

// Guards against one false report that multiplies the usual run time of the
// service, because a measured run is divided by the factor.
Test(momentary_slowdown, extreme_reports_count_as_the_bounds)
{
    report_validity validity;
    momentary_slowdown upstream;
    upstream.record(0.01, validity, start);
    cr_expect_eq(upstream.factor(validity, start), 0.25);
    upstream.record(1000, validity, start);
    cr_expect_eq(upstream.factor(validity, start), 16.0);
}

// Guards against a validity that fits one period only: speeds that change
// within 150 ms are out of date at the next request, and reports on speeds that
// stay for 3 s are worth using for seconds.
Test(report_validity, follows_how_often_speeds_change)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        slow_moments brief(150ms, seed);
        brief.run_for(60s);
        cr_expect_leq(brief.validity.validity().count(),
                      duration(280ms).count(), "seed %lu", seed);
        slow_moments usual(600ms, seed);
        usual.run_for(60s);
        cr_expect_geq(usual.validity.validity().count(),
                      duration(400ms).count(), "seed %lu", seed);
        cr_expect_leq(usual.validity.validity().count(), duration(1s).count(),
                      "seed %lu", seed);
        slow_moments lengthy(3s, seed);
        lengthy.run_for(60s);
        cr_expect_geq(lengthy.validity.validity().count(),
                      duration(1500ms).count(), "seed %lu", seed);
    }
}

// Guards against an estimate that stays where it was learnt.
Test(report_validity, follows_a_change_of_the_period)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        slow_moments first(3s, seed);
        first.run_for(60s);
        slow_moments second(150ms, seed);
        second.validity = first.validity;
        second.run_for(60s);
        cr_expect_leq(second.validity.validity().count(),
                      duration(280ms).count(), "seed %lu", seed);
    }
}

// Guards against an estimate that chance moves while there is nothing to learn.
Test(report_validity, reports_that_never_change_teach_nothing)
{
    report_validity validity;
    duration const initial = validity.validity();
    for (int pair = 0; pair < 10'000; ++pair)
    {
        validity.record(1, 1, 100ms);
    }
    cr_expect_eq(validity.validity().count(), initial.count());
}

// Guards against an estimate beyond its bounds, whatever is reported.
Test(report_validity, stays_between_100_ms_and_4_s)
{
    report_validity kept;
    report_validity lost;
    for (int pair = 0; pair < 10'000; ++pair)
    {
        bool const is_slow = pair / 100 % 2 == 0;
        double const speed = is_slow ? 2.5 : 1;
        kept.record(speed, speed, 3900ms);
        lost.record(speed, is_slow ? 1 : 2.5, 1ms);
        cr_assert(kept.validity() >= 100ms && kept.validity() <= 4s);
        cr_assert(lost.validity() >= 100ms && lost.validity() <= 4s);
    }
    cr_expect_eq(kept.validity().count(), duration(4s).count());
    cr_expect_eq(lost.validity().count(), duration(100ms).count());
}

// Guards against a few unusual pairs that make reports worthless at once.
Test(report_validity, few_pairs_move_it_by_one_step)
{
    report_validity validity;
    for (int pair = 0; pair < 60; ++pair)
    {
        validity.record(2.5, 1, 50ms);
    }
    cr_expect_geq(validity.validity().count(), duration(400ms).count());
}
