#include "bilberrylead/policy/plan_follower.hpp"
#include "bilberrylead/policy/shift_planner.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

namespace
{

/// Three regions with 18, 15 and 15 slots, led in term 1 for an hour.
struct planner_fixture
{
    shift_planner planner;
    instant now{};

    explicit planner_fixture(
        std::vector<double> const& links = std::vector<double>(9, 0),
        shift_planner_settings const& settings = {})
        : planner(3, links, {{1, 2}, {0, 2}, {0, 1}}, settings)
    {
        plan_step first;
        first.shares = traffic_shares(3);
        this->planner.reduce(leadership_started{1, this->now + 1h, first},
                             this->now);
        this->now += settings.interval;
    }

    void measure(double use0, double use1, double use2,
                 std::uint32_t cold_slots = 0)
    {
        this->planner.reduce(region_measured{0, {18, cold_slots, use0, use0}},
                             this->now);
        this->planner.reduce(region_measured{1, {15, cold_slots, use1, use1}},
                             this->now);
        this->planner.reduce(region_measured{2, {15, 0, use2, use2}},
                             this->now);
    }

    std::optional<plan_step> plan()
    {
        return this->planner.reduce(planning_due{}, this->now);
    }

    /// Plans and commits steps until nothing is left to do; the last one.
    plan_step plan_all(std::uint32_t cap)
    {
        plan_step step;
        step.shares = this->planner.shares();
        for (int round = 0; round < 30; ++round)
        {
            std::optional<plan_step> const next = this->plan();
            if (!next.has_value())
            {
                break;
            }
            cr_assert_leq(step.shares.largest_change(next->shares), cap);
            step = *next;
            this->planner.reduce(step_committed{step}, this->now);
            this->now += 10s;
        }
        return step;
    }
};

} // namespace

Test(shift_planner, quiet_regions_keep_their_callers)
{
    planner_fixture fixture;
    fixture.measure(10, 10, 10);
    cr_assert_not(fixture.plan().has_value());
}

Test(shift_planner, region_over_its_use_gives_at_most_the_cap)
{
    planner_fixture fixture;
    fixture.measure(8, 20, 8);
    std::optional<plan_step> const step = fixture.plan();
    cr_assert(step.has_value());
    cr_assert_eq(step->shares.at(1, 0), 100);
    cr_assert_eq(step->shares.at(1, 1), 900);
}

// Every interval needs a committed step: a second plan before the interval
// is over, or before the first is committed, would move two caps at once.
Test(shift_planner, next_step_waits_for_commit_and_interval)
{
    planner_fixture fixture;
    fixture.measure(8, 20, 8);
    plan_step const step = *fixture.plan();
    fixture.now += 20s;
    fixture.measure(8, 20, 8);
    cr_assert_not(fixture.plan().has_value());
    fixture.planner.reduce(step_committed{step}, fixture.now);
    fixture.now += 9s;
    fixture.measure(8, 20, 8);
    cr_assert_not(fixture.plan().has_value());
    fixture.now += 1s;
    cr_assert(fixture.plan().has_value());
}

// The old leader's step was taken a moment ago, then it died. The new one
// would move another cap within the same interval if it planned at once
// (interval zero stands for the pause switched off).
Test(shift_planner, new_leader_waits_an_interval)
{
    planner_fixture fixture;
    fixture.measure(8, 20, 8);
    plan_step const step = *fixture.plan();
    for (duration const pause : {duration(0s), duration(10s)})
    {
        shift_planner_settings settings;
        settings.interval = pause;
        planner_fixture next(std::vector<double>(9, 0), settings);
        next.planner.reduce(leadership_started{2, next.now + 1h, step},
                            next.now);
        next.measure(8, 20, 8);
        cr_assert_eq(next.plan().has_value(), pause == 0s);
    }
}

Test(shift_planner, thawed_leader_past_its_lease_plans_nothing)
{
    planner_fixture fixture;
    fixture.now += 1h;
    fixture.measure(8, 20, 8);
    cr_assert_not(fixture.plan().has_value());
    fixture.planner.reduce(leadership_renewed{fixture.now + 1h}, fixture.now);
    cr_assert_not(fixture.plan().has_value());
}

// Measurements stopped ten seconds ago. What they say of room may be long
// gone; with an endless lifetime the planner would still move by them.
Test(shift_planner, stale_measurements_move_nobody)
{
    for (duration const lifetime : {duration(5s), duration(1h)})
    {
        shift_planner_settings settings;
        settings.measurement_lifetime = lifetime;
        planner_fixture fixture(std::vector<double>(9, 0), settings);
        fixture.measure(8, 20, 8);
        fixture.now += 10s;
        cr_assert_eq(fixture.plan().has_value(), lifetime == 1h);
    }
}

// Region 1 lost: 10 slots' worth of callers, and room for 3.3 + 2.75. The
// others may not be overloaded: the rest stays, and is told "not run".
Test(shift_planner, lost_region_spreads_only_into_room)
{
    planner_fixture fixture;
    fixture.measure(11.995, 10, 9.995);
    fixture.planner.reduce(region_lost{1}, fixture.now);
    for (int round = 0; round < 20; ++round)
    {
        std::optional<plan_step> const step = fixture.plan();
        if (step.has_value())
        {
            fixture.planner.reduce(step_committed{*step}, fixture.now);
        }
        fixture.now += 10s;
        traffic_shares const& shares = fixture.planner.shares();
        fixture.planner.reduce(
            region_measured{0,
                            {18, 0, 11.995 + shares.at(1, 0) * 0.010, 11.995}},
            fixture.now);
        fixture.planner.reduce(
            region_measured{2, {15, 0, 9.995 + shares.at(1, 2) * 0.010, 9.995}},
            fixture.now);
    }
    traffic_shares const& shares = fixture.planner.shares();
    cr_assert_eq(shares.at(1, 0), 330);
    cr_assert_eq(shares.at(1, 2), 275);
    cr_assert_eq(shares.at(1, 1), 395);
}

// The measurement of the target does not show the last step's callers yet.
// Its room was used up by them; a planner that trusts the measurement alone
// sends as many again with each step until the target drowns.
Test(shift_planner, moves_under_way_count_as_load)
{
    planner_fixture fixture;
    fixture.measure(14.5, 30, 12.7);
    plan_step const first = *fixture.plan();
    cr_assert_eq(first.shares.at(1, 0), 26);
    fixture.planner.reduce(step_committed{first}, fixture.now);
    fixture.now += 10s;
    fixture.measure(14.5, 30, 12.7);
    cr_assert_not(fixture.plan().has_value());
}

Test(shift_planner, cold_slots_count_for_a_part)
{
    planner_fixture warm;
    warm.measure(13.99, 20, 12.7);
    cr_assert_eq(warm.plan()->shares.at(1, 0), 65);
    planner_fixture cold;
    cold.planner.reduce(region_measured{0, {18, 6, 11, 11}}, cold.now);
    cold.planner.reduce(region_measured{1, {15, 0, 20, 20}}, cold.now);
    cold.planner.reduce(region_measured{2, {15, 0, 12.7, 12.7}}, cold.now);
    cr_assert_eq(cold.plan()->shares.at(1, 0), 23);
}

Test(shift_planner, link_with_a_limit_carries_no_more)
{
    std::vector<double> links(9, 0);
    links[1 * 3 + 0] = 0.5;
    planner_fixture fixture(links);
    fixture.measure(8, 20, 12.75);
    cr_assert_eq(fixture.plan()->shares.at(1, 0), 25);
}

Test(shift_planner, callers_come_back_once_there_is_room)
{
    planner_fixture fixture;
    plan_step away;
    away.number = 5;
    away.shares = traffic_shares(3);
    away.shares.move(1, 1, 0, 300);
    fixture.planner.reduce(step_committed{away}, fixture.now);
    fixture.now += 10s;
    fixture.measure(8, 8, 8);
    plan_step const step = *fixture.plan();
    cr_assert_eq(step.shares.at(1, 1), 800);
    cr_assert_eq(step.number, 6);
}

namespace
{

plan_step step_of(std::uint64_t term, std::uint64_t number, std::uint32_t moved)
{
    plan_step step;
    step.term = term;
    step.number = number;
    step.shares = traffic_shares(3);
    step.shares.move(1, 1, 0, moved);
    step.valid_for = 15s;
    return step;
}

} // namespace

// A host missed eight steps. Taken at once, the ninth moves 900 thousandths
// of the callers in one interval (cap 1000 stands for the rule off).
Test(plan_follower, host_that_missed_steps_moves_at_most_the_cap)
{
    for (std::uint32_t const cap : {1000U, 100U})
    {
        shift_planner_settings settings;
        settings.cap = cap;
        plan_follower follower(traffic_shares(3), settings);
        instant now{};
        cr_assert(follower.take(step_of(1, 9, 900), now, now) ==
                  step_verdict::taken);
        cr_assert_eq(follower.applied().at(1, 0), cap == 100 ? 100 : 900);
        now += 9s;
        follower.advance(now);
        cr_assert_eq(follower.applied().at(1, 0), cap == 100 ? 100 : 900);
        now += 1s;
        follower.advance(now);
        cr_assert_eq(follower.applied().at(1, 0), cap == 100 ? 200 : 900);
    }
}

// A leader froze, another one shifted callers back, then the first thaws
// and its step arrives: term 1 after term 2.
Test(plan_follower, step_of_an_old_leader_changes_nothing)
{
    plan_follower follower{traffic_shares(3)};
    instant const now{};
    follower.take(step_of(2, 7, 50), now, now);
    cr_assert(follower.take(step_of(1, 8, 500), now, now) ==
              step_verdict::old_term);
    cr_assert(follower.take(step_of(2, 7, 500), now, now) ==
              step_verdict::old_number);
    cr_assert_eq(follower.applied().at(1, 0), 50);
}

Test(plan_follower, expired_step_changes_nothing)
{
    plan_follower follower{traffic_shares(3)};
    instant now{};
    cr_assert(follower.take(step_of(1, 1, 50), now, now + 15s) ==
              step_verdict::expired);
    follower.take(step_of(1, 2, 300), now, now);
    now += 20s;
    cr_assert_not(follower.advance(now));
    cr_assert_eq(follower.applied().at(1, 0), 100);
}
