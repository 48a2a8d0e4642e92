#include "bilberrylead/policy/rank_admission.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::admission_demand;
using policy::admission_plan;
using policy::rank_admission;

namespace
{

instant const start = instant{} + 1h;
customer_id const no_customer;

admission_plan make_plan(double share_of_rank_1, double share_of_rank_2)
{
    admission_plan plan;
    plan.ranks = {{1, share_of_rank_1}, {2, share_of_rank_2}};
    return plan;
}

/// An entry host's admission under load, with its clock.
struct admission_under_load
{
    /// Offers requests of one rank at equal distances and refuses a share of
    /// them.
    void offer(std::uint32_t rank, int requests, int refused_of_10)
    {
        constexpr duration gap = 20ms;
        for (int each = 0; each < requests; ++each)
        {
            this->now += gap;
            this->admission.record_offered(rank, no_customer, this->now);
            if (each % 10 < refused_of_10)
            {
                this->admission.record_refused(rank, this->now);
            }
            else
            {
                this->admission.record_served(rank, this->now);
            }
        }
    }

    /// Offers ten requests of each rank, round by round.
    void offer_rounds(int rounds, std::vector<std::uint32_t> const& ranks,
                      int refused_of_10)
    {
        for (int round = 0; round < rounds; ++round)
        {
            for (std::uint32_t const rank : ranks)
            {
                this->offer(rank, 10, refused_of_10);
            }
        }
    }

    /// Applies the plan once a second and offers a request of each rank and
    /// customer after it.
    void follow(admission_plan const& plan, int seconds,
                std::vector<std::uint32_t> const& ranks,
                customer_id const& customer = no_customer)
    {
        for (int second = 0; second < seconds; ++second)
        {
            this->admission.apply(plan, 0ms, this->now);
            this->now += 1s;
            for (std::uint32_t const rank : ranks)
            {
                this->admission.record_offered(rank, customer, this->now);
            }
        }
    }

    double tolerance(std::uint32_t rank) const
    {
        return this->admission.tolerance(rank, no_customer, this->now);
    }

    /// Share that the plan admits of a rank, as followed.
    double share(std::uint32_t rank) const
    {
        return this->admission.basis(rank, no_customer, this->now)
            .share.value();
    }

    /// Share of the next 100 requests of a rank and customer that are within
    /// their share.
    double admitted_share(std::uint32_t rank, customer_id const& customer)
    {
        int admitted = 0;
        for (int each = 0; each < 100; ++each)
        {
            this->now += 10ms;
            this->admission.record_offered(rank, customer, this->now);
            admitted +=
                this->admission.is_within_share(rank, customer, this->now) ? 1
                                                                           : 0;
        }
        return admitted / 100.0;
    }

    rank_admission admission;
    instant now = start;
};

} // namespace

// Guards against a part that changes decisions where no rank is more urgent
// than another.
Test(rank_admission, equal_ranks_without_a_plan_are_not_restricted)
{
    admission_under_load host;
    for (int round = 0; round < 20; ++round)
    {
        host.offer(3, 10, round % 11);
        cr_expect_eq(host.tolerance(3), 1);
        cr_expect_eq(host.admission.tolerance(3, customer_id("a"), host.now),
                     1);
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
    admission_under_load host;
    host.offer_rounds(30, {0, 1, 2}, 3);
    cr_expect_eq(host.tolerance(0), 1);
    cr_expect_float_eq(host.tolerance(1), 0.5, 0.001);
    cr_expect_float_eq(host.tolerance(2), 0.25, 0.001);
}

// Guards against capacity that stays idle after an overload has ended.
Test(rank_admission, thresholds_return_to_1_when_there_is_room)
{
    admission_under_load host;
    host.offer_rounds(30, {0, 2}, 5);
    cr_assert_leq(host.tolerance(2), 0.375);
    host.offer_rounds(60, {0, 2}, 0);
    cr_expect_eq(host.tolerance(2), 1);
}

// Guards against a threshold that stays low since the urgent requests ceased
// and nothing reports that there is room.
Test(rank_admission, thresholds_return_to_1_without_urgent_requests)
{
    admission_under_load host;
    host.offer_rounds(30, {0}, 5);
    host.now += 30s;
    host.offer(2, 1, 0);
    cr_expect_eq(host.admission.tolerance(2, no_customer, host.now + 30s), 1);
}

// Guards against urgent answers that come late since they waited behind others.
Test(rank_admission, late_answers_of_an_urgent_rank_restrict_others)
{
    admission_under_load host;
    for (int each = 0; each < 300; ++each)
    {
        host.now += 20ms;
        host.admission.record_offered(0, no_customer, host.now);
        host.admission.record_served(0, host.now);
        host.admission.record_late(0, host.now);
        host.admission.record_offered(1, no_customer, host.now);
        host.admission.record_served(1, host.now);
    }
    cr_expect_leq(host.tolerance(1), 0.375);
}

Test(rank_admission, plan_is_followed_at_a_bounded_rate)
{
    admission_under_load host;
    host.admission.apply(make_plan(1, 0), 0ms, host.now);
    host.admission.record_offered(2, no_customer, host.now + 100ms);
    cr_expect_gt(
        host.admission.basis(2, no_customer, host.now + 100ms).share.value(),
        0.8);
    for (int second = 1; second <= 4; ++second)
    {
        host.now += 1s;
        host.admission.record_offered(2, no_customer, host.now);
        host.admission.apply(make_plan(1, 0), 0ms, host.now);
    }
    cr_expect_eq(host.share(2), 0);
    cr_expect_not(host.admission.is_within_share(2, no_customer, host.now));
    cr_expect_eq(host.tolerance(1), 1);
    cr_expect_eq(host.tolerance(0), 1);
}

// Guards against requests beyond their share that take the slots of others
// while those are refused.
Test(rank_admission, requests_beyond_their_share_tolerate_a_small_wait)
{
    admission_under_load host;
    for (int round = 0; round < 40; ++round)
    {
        host.admission.apply(make_plan(1, 0), 0ms, host.now);
        host.offer(1, 10, 2);
        host.admission.record_offered(2, no_customer, host.now);
    }
    cr_expect_float_eq(host.tolerance(2), 0.2, 0.001);
}

// Guards against idle capacity under a plan that admits too little: while the
// requests within their share are served, the others may wait as well.
Test(rank_admission, requests_beyond_their_share_may_wait_while_there_is_room)
{
    admission_under_load host;
    for (int round = 0; round < 40; ++round)
    {
        host.admission.apply(make_plan(1, 0), 0ms, host.now);
        host.offer(1, 10, 0);
        host.admission.record_offered(2, no_customer, host.now);
    }
    cr_expect_eq(host.tolerance(2), 1);
}

// Guards against shares that are met only on average over many hosts: a host
// that sees a few requests a second must meet them too.
Test(rank_admission, share_of_the_plan_is_met_exactly)
{
    admission_under_load host;
    host.follow(make_plan(0.6, 0.2), 10, {1, 2});
    cr_expect_float_eq(host.admitted_share(1, no_customer), 0.6, 0.02);
    cr_expect_float_eq(host.admitted_share(2, no_customer), 0.2, 0.02);
}

Test(rank_admission, customer_of_the_plan_has_its_own_share)
{
    admission_under_load host;
    admission_plan plan = make_plan(1, 0.8);
    plan.customers = {{customer_id("large"), 2, 0.3}};
    host.follow(plan, 10, {2}, customer_id("large"));
    cr_expect_float_eq(host.admitted_share(2, customer_id("large")), 0.3, 0.02);
    cr_expect_float_eq(host.admitted_share(2, customer_id("small")), 0.8, 0.02);
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
    admission_under_load host;
    host.follow(make_plan(-3, 7), 10, {1, 2});
    cr_expect_eq(host.share(1), 0);
    cr_expect_eq(host.share(2), 1);
}

// Guards against a plan that admits too much: refusals of urgent requests that
// the plan didn't intend restrict the others.
Test(rank_admission, own_refusals_correct_a_plan_that_admits_too_much)
{
    admission_under_load host;
    for (int round = 0; round < 30; ++round)
    {
        host.admission.apply(make_plan(1, 1), 0ms, host.now);
        host.offer(1, 10, 4);
        host.offer(2, 10, 4);
    }
    cr_expect_leq(host.tolerance(2), 0.375);
}

// Guards against double restriction: refusals that the plan intends must not
// restrict the next rank further.
Test(rank_admission, refusals_by_plan_do_not_restrict_others)
{
    admission_under_load host;
    for (int each = 0; each < 400; ++each)
    {
        if (each % 10 == 0)
        {
            host.admission.apply(make_plan(0.7, 1), 0ms, host.now);
        }
        host.now += 50ms;
        host.admission.record_offered(1, no_customer, host.now);
        if (host.admission.is_within_share(1, no_customer, host.now))
        {
            host.admission.record_served(1, host.now);
        }
        else
        {
            host.admission.record_refused(1, host.now, false);
        }
        host.admission.record_offered(2, no_customer, host.now);
        host.admission.record_served(2, host.now);
    }
    cr_expect_gt(host.tolerance(2), 0.8);
}

Test(rank_admission, demand_is_stated_in_slots)
{
    admission_under_load host;
    for (int each = 0; each < 1000; ++each)
    {
        host.now += 10ms;
        host.admission.record_offered(1, customer_id("a"), host.now);
        if (each % 4 == 0)
        {
            host.admission.record_offered(2, customer_id("b"), host.now);
        }
    }
    admission_demand const demand = host.admission.demand(500ms, host.now);
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
    admission_under_load host;
    for (int each = 0; each < 40'000; ++each)
    {
        host.now += 1ms;
        host.admission.record_offered(
            static_cast<std::uint32_t>(39 - each % 40), no_customer, host.now);
    }
    admission_demand const demand = host.admission.demand(1s, host.now);
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
    admission_under_load host;
    for (int each = 0; each < 100'000; ++each)
    {
        host.now += 1ms;
        std::string const name =
            each % 10 == 0 ? "large" : "c" + std::to_string(each % 10'007);
        host.admission.record_offered(1, customer_id(name), host.now);
    }
    admission_demand const demand = host.admission.demand(100ms, host.now);
    cr_expect_leq(demand.customers.size(), 32U);
    cr_expect_leq(host.admission.tracked_customers(), 64U);
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
