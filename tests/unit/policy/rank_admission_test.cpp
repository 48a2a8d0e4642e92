#include "bilberrylead/policy/rank_admission.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::admission_demand;
using policy::admission_plan;
using policy::rank_admission;

namespace
{

instant const start = instant{} + 1h;
customer_id const no_customer;

/// Offers requests of one rank at equal distances and refuses a share of them.
instant offer(rank_admission& admission, std::uint32_t rank, int requests,
              int refused_of_10, instant now, duration gap = 20ms)
{
    for (int each = 0; each < requests; ++each)
    {
        now += gap;
        admission.record_offered(rank, no_customer, now);
        if (each % 10 < refused_of_10)
        {
            admission.record_refused(rank, now);
        }
        else
        {
            admission.record_served(rank, now);
        }
    }
    return now;
}

admission_plan make_plan(double share_of_rank_1, double share_of_rank_2)
{
    admission_plan plan;
    plan.ranks = {{1, share_of_rank_1}, {2, share_of_rank_2}};
    return plan;
}

/// Share of the requests of a rank and customer that are within their share.
double admitted_share(rank_admission& admission, std::uint32_t rank,
                      customer_id const& customer, instant& now)
{
    int admitted = 0;
    for (int each = 0; each < 100; ++each)
    {
        now += 10ms;
        admission.record_offered(rank, customer, now);
        admitted += admission.is_within_share(rank, customer, now) ? 1 : 0;
    }
    return admitted / 100.0;
}

} // namespace

// Guards against a part that changes decisions where no rank is more urgent
// than another.
Test(rank_admission, equal_ranks_without_a_plan_are_not_restricted)
{
    rank_admission admission;
    instant now = start;
    for (int round = 0; round < 20; ++round)
    {
        now = offer(admission, 3, 10, round % 11, now);
        cr_expect_eq(admission.tolerance(3, no_customer, now), 1);
        cr_expect_eq(admission.tolerance(3, customer_id("a"), now), 1);
    }
}

Test(rank_admission, unknown_rank_is_not_restricted)
{
    rank_admission const admission;
    cr_expect_eq(admission.tolerance(7, no_customer, start), 1);
}

// Guards against urgent requests that are refused while less urgent ones wait.
Test(rank_admission, refusals_of_an_urgent_rank_restrict_less_urgent_ranks)
{
    rank_admission admission;
    instant now = start;
    for (int round = 0; round < 30; ++round)
    {
        now = offer(admission, 0, 10, 3, now);
        now = offer(admission, 1, 10, 3, now);
        now = offer(admission, 2, 10, 3, now);
    }
    cr_expect_eq(admission.tolerance(0, no_customer, now), 1);
    cr_expect_float_eq(admission.tolerance(1, no_customer, now), 0.5, 0.001);
    cr_expect_float_eq(admission.tolerance(2, no_customer, now), 0.25, 0.001);
}

// Guards against capacity that stays idle after an overload has ended.
Test(rank_admission, thresholds_return_to_1_when_there_is_room)
{
    rank_admission admission;
    instant now = start;
    for (int round = 0; round < 30; ++round)
    {
        now = offer(admission, 0, 10, 5, now);
        now = offer(admission, 2, 10, 5, now);
    }
    cr_assert_leq(admission.tolerance(2, no_customer, now), 0.375);
    for (int round = 0; round < 60; ++round)
    {
        now = offer(admission, 0, 10, 0, now);
        now = offer(admission, 2, 10, 0, now);
    }
    cr_expect_eq(admission.tolerance(2, no_customer, now), 1);
}

// Guards against a threshold that stays low since the urgent requests ceased
// and nothing reports that there is room.
Test(rank_admission, thresholds_return_to_1_without_urgent_requests)
{
    rank_admission admission;
    instant now = start;
    for (int round = 0; round < 30; ++round)
    {
        now = offer(admission, 0, 10, 5, now);
    }
    now = offer(admission, 2, 1, 0, now + 30s);
    cr_expect_eq(admission.tolerance(2, no_customer, now + 30s), 1);
}

// Guards against urgent answers that come late since they waited behind others.
Test(rank_admission, late_answers_of_an_urgent_rank_restrict_others)
{
    rank_admission admission;
    instant now = start;
    for (int each = 0; each < 300; ++each)
    {
        now += 20ms;
        admission.record_offered(0, no_customer, now);
        admission.record_served(0, now);
        admission.record_late(0, now);
        admission.record_offered(1, no_customer, now);
        admission.record_served(1, now);
    }
    cr_expect_leq(admission.tolerance(1, no_customer, now), 0.375);
}

Test(rank_admission, plan_is_followed_at_a_bounded_rate)
{
    rank_admission admission;
    instant now = start;
    admission.apply(make_plan(1, 0), 0ms, now);
    admission.record_offered(2, no_customer, now + 100ms);
    cr_expect_gt(admission.basis(2, no_customer, now + 100ms).share.value(),
                 0.8);
    for (int second = 1; second <= 4; ++second)
    {
        now += 1s;
        admission.record_offered(2, no_customer, now);
        admission.apply(make_plan(1, 0), 0ms, now);
    }
    cr_expect_eq(admission.basis(2, no_customer, now).share.value(), 0);
    cr_expect_not(admission.is_within_share(2, no_customer, now));
    cr_expect_eq(admission.tolerance(1, no_customer, now), 1);
    cr_expect_eq(admission.tolerance(0, no_customer, now), 1);
}

// Guards against requests beyond their share that take the slots of others
// while those are refused.
Test(rank_admission, requests_beyond_their_share_tolerate_a_small_wait)
{
    rank_admission admission;
    instant now = start;
    for (int round = 0; round < 40; ++round)
    {
        admission.apply(make_plan(1, 0), 0ms, now);
        now = offer(admission, 1, 10, 2, now);
        admission.record_offered(2, no_customer, now);
    }
    cr_expect_float_eq(admission.tolerance(2, no_customer, now), 0.2, 0.001);
}

// Guards against idle capacity under a plan that admits too little: while the
// requests within their share are served, the others may wait as well.
Test(rank_admission, requests_beyond_their_share_may_wait_while_there_is_room)
{
    rank_admission admission;
    instant now = start;
    for (int round = 0; round < 40; ++round)
    {
        admission.apply(make_plan(1, 0), 0ms, now);
        now = offer(admission, 1, 10, 0, now);
        admission.record_offered(2, no_customer, now);
    }
    cr_expect_eq(admission.tolerance(2, no_customer, now), 1);
}

// Guards against shares that are met only on average over many hosts: a host
// that sees a few requests a second must meet them too.
Test(rank_admission, share_of_the_plan_is_met_exactly)
{
    rank_admission admission;
    instant now = start;
    for (int second = 0; second < 10; ++second)
    {
        admission.apply(make_plan(0.6, 0.2), 0ms, now);
        now += 1s;
        admission.record_offered(1, no_customer, now);
        admission.record_offered(2, no_customer, now);
    }
    cr_expect_float_eq(admitted_share(admission, 1, no_customer, now), 0.6,
                       0.02);
    cr_expect_float_eq(admitted_share(admission, 2, no_customer, now), 0.2,
                       0.02);
}

Test(rank_admission, customer_of_the_plan_has_its_own_share)
{
    rank_admission admission;
    instant now = start;
    admission_plan plan = make_plan(1, 0.8);
    plan.customers = {{customer_id("large"), 2, 0.3}};
    for (int second = 0; second < 10; ++second)
    {
        admission.apply(plan, 0ms, now);
        now += 1s;
        admission.record_offered(2, customer_id("large"), now);
    }
    cr_expect_float_eq(admitted_share(admission, 2, customer_id("large"), now),
                       0.3, 0.02);
    cr_expect_float_eq(admitted_share(admission, 2, customer_id("small"), now),
                       0.8, 0.02);
}

// Guards against a host that follows an outdated plan after the leader is lost.
Test(rank_admission, plan_loses_weight_from_5_s_and_is_ignored_from_10_s)
{
    rank_admission admission;
    for (int second = 0; second <= 4; ++second)
    {
        admission.record_offered(2, no_customer, start + second * 1s);
        admission.apply(make_plan(1, 0), 0ms, start + second * 1s);
    }
    instant const applied = start + 4s;
    cr_expect_eq(admission.basis(2, no_customer, applied + 5s).share.value(),
                 0);
    cr_expect_float_eq(
        admission.basis(2, no_customer, applied + 7500ms).share.value(), 0.5,
        0.01);
    cr_expect_not(
        admission.basis(2, no_customer, applied + 10s).share.has_value());
    cr_expect_eq(admission.tolerance(2, no_customer, applied + 10s), 1);
}

Test(rank_admission, plan_that_arrives_old_is_ignored)
{
    rank_admission admission;
    admission.apply(make_plan(1, 0), 11s, start);
    admission.record_offered(2, no_customer, start + 5s);
    cr_expect_eq(admission.tolerance(2, no_customer, start + 5s), 1);
}

// Guards against a plan that names shares outside 0 to 1 or no number.
Test(rank_admission, shares_out_of_range_are_limited)
{
    rank_admission admission;
    instant now = start;
    for (int second = 0; second < 10; ++second)
    {
        admission.apply(make_plan(-3, 7), 0ms, now);
        now += 1s;
        admission.record_offered(1, no_customer, now);
        admission.record_offered(2, no_customer, now);
    }
    cr_expect_eq(admission.basis(1, no_customer, now).share.value(), 0);
    cr_expect_eq(admission.basis(2, no_customer, now).share.value(), 1);
}

// Guards against a plan that admits too much: refusals of urgent requests that
// the plan didn't intend restrict the others.
Test(rank_admission, own_refusals_correct_a_plan_that_admits_too_much)
{
    rank_admission admission;
    instant now = start;
    for (int round = 0; round < 30; ++round)
    {
        admission.apply(make_plan(1, 1), 0ms, now);
        now = offer(admission, 1, 10, 4, now);
        now = offer(admission, 2, 10, 4, now);
    }
    cr_expect_leq(admission.tolerance(2, no_customer, now), 0.375);
}

// Guards against double restriction: refusals that the plan intends must not
// restrict the next rank further.
Test(rank_admission, refusals_by_plan_do_not_restrict_others)
{
    rank_admission admission;
    instant now = start;
    for (int each = 0; each < 400; ++each)
    {
        if (each % 10 == 0)
        {
            admission.apply(make_plan(0.7, 1), 0ms, now);
        }
        now += 50ms;
        admission.record_offered(1, no_customer, now);
        if (admission.is_within_share(1, no_customer, now))
        {
            admission.record_served(1, now);
        }
        else
        {
            admission.record_refused(1, now, false);
        }
        admission.record_offered(2, no_customer, now);
        admission.record_served(2, now);
    }
    cr_expect_gt(admission.tolerance(2, no_customer, now), 0.8);
}

Test(rank_admission, demand_is_stated_in_slots)
{
    rank_admission admission;
    instant now = start;
    for (int each = 0; each < 1000; ++each)
    {
        now += 10ms;
        admission.record_offered(1, customer_id("a"), now);
        if (each % 4 == 0)
        {
            admission.record_offered(2, customer_id("b"), now);
        }
    }
    admission_demand const demand = admission.demand(500ms, now);
    cr_assert_eq(demand.ranks.size(), 2U);
    cr_expect_eq(demand.ranks[0].rank, 1U);
    cr_expect_float_eq(demand.ranks[0].slots, 50, 3);
    cr_expect_float_eq(demand.ranks[1].slots, 12.5, 2);
    cr_assert_eq(demand.customers.size(), 2U);
    cr_expect_eq(demand.customers[0].customer.text(), "a");
    cr_expect_float_eq(demand.customers[0].slots, 50, 3);
}

// Guards against a report that understates the total: the last rank stands for
// all less urgent ones.
Test(rank_admission, ranks_beyond_16_are_counted_with_the_last)
{
    rank_admission admission;
    instant now = start;
    for (int each = 0; each < 40'000; ++each)
    {
        now += 1ms;
        admission.record_offered(static_cast<std::uint32_t>(39 - each % 40),
                                 no_customer, now);
    }
    admission_demand const demand = admission.demand(1s, now);
    cr_assert_eq(demand.ranks.size(), 16U);
    double sum = 0;
    for (std::size_t place = 0; place < demand.ranks.size(); ++place)
    {
        cr_expect_eq(demand.ranks[place].rank, place);
        sum += demand.ranks[place].slots;
    }
    cr_expect_float_eq(sum, 1000, 30);
    cr_expect_float_eq(demand.ranks.back().slots, 625, 40);
}

// Guards against memory and reports that grow with the number of customers,
// and against a large customer that is hidden by many small ones.
Test(rank_admission, state_is_bounded_with_10000_customers)
{
    rank_admission admission;
    instant now = start;
    for (int each = 0; each < 100'000; ++each)
    {
        now += 1ms;
        std::string const name =
            each % 10 == 0 ? "large" : "c" + std::to_string(each % 10'007);
        admission.record_offered(1, customer_id(name), now);
    }
    admission_demand const demand = admission.demand(100ms, now);
    cr_expect_leq(demand.customers.size(), 32U);
    cr_expect_leq(admission.tracked_customers(), 64U);
    cr_assert_not(demand.customers.empty());
    cr_expect_eq(demand.customers[0].customer.text(), "large");
    cr_expect_float_eq(demand.customers[0].slots, 10, 2);
    for (std::size_t place = 1; place < demand.customers.size(); ++place)
    {
        cr_expect_lt(demand.customers[place].slots, 2);
    }
}

// Guards against a plan message that fills the memory of an entry host.
Test(rank_admission, customers_of_a_plan_are_bounded)
{
    rank_admission admission;
    admission_plan plan = make_plan(1, 0.5);
    for (int each = 0; each < 10'000; ++each)
    {
        plan.customers.push_back(
            {customer_id("c" + std::to_string(each)), 2, 0.1});
    }
    admission.apply(plan, 0ms, start);
    cr_expect_leq(admission.planned_customers(), 256U);
}
