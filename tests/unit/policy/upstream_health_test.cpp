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

Test(upstream_health, single_failure_followed_by_an_answer_is_cleared)
{
    health_fixture fixture;
    fixture.fail(1);
    cr_assert(fixture.health.condition() == upstream_condition::suspected);
    fixture.answer(1);
    fixture.fail(2);
    cr_assert(fixture.health.condition() == upstream_condition::suspected);
}

Test(upstream_health, consecutive_failures_eject_if_others_have_capacity)
{
    health_fixture fixture;
    fixture.fail(3);
    cr_assert(fixture.health.condition() == upstream_condition::ejected);
    cr_assert_eq(fixture.health.usable_slots(), 0);
}

// Guards against ejecting all upstreams one after the other, until the last one
// receives the whole load, when the fault is in a system behind all of them.
// With the check for free capacity disabled (others_have_capacity always true),
// the loop below ends in the ejected condition.
Test(upstream_health, consecutive_failures_without_spare_capacity_do_not_eject)
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

Test(upstream_health, ejected_upstream_regains_its_slots_gradually)
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

Test(upstream_health, failed_probe_doubles_the_ejection_time)
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

Test(upstream_health, exhausted_capacity_starts_probing_at_once)
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
