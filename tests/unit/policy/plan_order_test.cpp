#include "bilberrylead/policy/plan_order.hpp"

#include <criterion/criterion.h>

using bilberrylead::policy::plan_order;

// Guards against a leader that was cut off and replaced: a control host of a
// partitioned zone passes its plans on.
Test(plan_order, plan_of_an_older_term_is_ignored)
{
    plan_order plans;
    cr_expect(plans.accept_term(3));
    cr_expect(plans.accept_admission(7));
    cr_expect_not(plans.accept_term(2));
    cr_expect(plans.accept_term(3));
    cr_expect_not(plans.accept_admission(7), "the number stays in force");
}

// Guards against plans that arrive late or twice, by way of other hosts.
Test(plan_order, plan_with_a_number_that_is_not_higher_is_ignored)
{
    plan_order plans;
    cr_expect(plans.accept_term(3));
    cr_expect(plans.accept_admission(5));
    cr_expect_not(plans.accept_admission(5));
    cr_expect_not(plans.accept_admission(4));
    cr_expect(plans.accept_admission(6));
}

// Guards against a new leader that is ignored since its process has made fewer
// plans than the old one.
Test(plan_order, numbers_of_a_newer_term_start_again)
{
    plan_order plans;
    cr_expect(plans.accept_term(3));
    cr_expect(plans.accept_admission(500));
    cr_expect(plans.accept_term(4));
    cr_expect(plans.accept_admission(1));
    cr_expect_not(plans.accept_term(3));
    cr_expect_not(plans.accept_admission(1));
}
