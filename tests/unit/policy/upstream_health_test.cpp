#include "bilberrylead/policy/upstream_health.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

namespace
{

struct health_fixture
{
    upstream_health health{3};
    instant now{};

    void fail(int times)
    {
        for (int time = 0; time < times; ++time)
        {
            this->health.reduce(upstream_failed{}, this->now);
        }
    }

    void answer(int times)
    {
        for (int time = 0; time < times; ++time)
        {
            this->health.reduce(upstream_answered{}, this->now);
        }
    }
};

} // namespace

Test(upstream_health, single_failure_when_answered_next_is_forgiven)
{
    health_fixture fixture;
    fixture.fail(1);
    cr_assert(fixture.health.condition() == upstream_condition::suspected);
    fixture.answer(1);
    fixture.fail(2);
    cr_assert(fixture.health.condition() == upstream_condition::suspected);
}

Test(upstream_health, failures_in_a_row_when_there_is_room_eject)
{
    health_fixture fixture;
    fixture.fail(3);
    cr_assert(fixture.health.condition() == upstream_condition::ejected);
    cr_assert_eq(fixture.health.usable_slots(), 0);
}

// Callers would see every upstream ejected, one after the other, when what
// fails lies behind all of them; the last one gets the whole load. With the
// check for room switched off (room_without_it always true) the loop below
// ends ejected.
Test(upstream_health, failures_in_a_row_without_room_keep_it_in_use)
{
    health_fixture fixture;
    for (int time = 0; time < 10; ++time)
    {
        fixture.health.reduce(upstream_failed{may_eject(3, 9, 6.0)},
                              fixture.now);
    }
    cr_assert(fixture.health.condition() == upstream_condition::suspected);
    cr_assert_eq(fixture.health.usable_slots(), 3);
    cr_assert(may_eject(3, 9, 5.0));
    cr_assert_not(may_eject(3, 3, 0.0));
}

Test(upstream_health, ejected_upstream_when_pause_is_over_returns_by_slots)
{
    health_fixture fixture;
    fixture.fail(3);
    fixture.now += 499ms;
    fixture.health.reduce(health_timer_elapsed{}, fixture.now);
    cr_assert(fixture.health.condition() == upstream_condition::ejected);
    fixture.now += 1ms;
    fixture.health.reduce(health_timer_elapsed{}, fixture.now);
    cr_assert(fixture.health.condition() == upstream_condition::probing);
    cr_assert_eq(fixture.health.usable_slots(), 1);
    fixture.answer(5);
    cr_assert_eq(fixture.health.usable_slots(), 2);
    fixture.answer(10);
    cr_assert(fixture.health.condition() == upstream_condition::healthy);
}

Test(upstream_health, return_that_fails_doubles_the_pause)
{
    health_fixture fixture;
    fixture.fail(3);
    fixture.now += 500ms;
    fixture.health.reduce(health_timer_elapsed{}, fixture.now);
    fixture.fail(1);
    fixture.now += 999ms;
    fixture.health.reduce(health_timer_elapsed{}, fixture.now);
    cr_assert(fixture.health.condition() == upstream_condition::ejected);
    fixture.now += 1ms;
    fixture.health.reduce(health_timer_elapsed{}, fixture.now);
    cr_assert(fixture.health.condition() == upstream_condition::probing);
}

Test(upstream_health, ejected_upstream_when_room_runs_out_is_tried_at_once)
{
    health_fixture fixture;
    fixture.fail(3);
    fixture.health.reduce(capacity_exhausted{}, fixture.now);
    cr_assert(fixture.health.condition() == upstream_condition::probing);
}

Test(upstream_health, started_upstream_begins_with_one_slot)
{
    health_fixture fixture;
    fixture.health.reduce(upstream_started{}, fixture.now);
    cr_assert_eq(fixture.health.usable_slots(), 1);
}
