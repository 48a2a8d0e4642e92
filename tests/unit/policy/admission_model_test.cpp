#include "tests/unit/policy/admission_model_runs.hpp"

#include <criterion/criterion.h>

#include <cstddef>

using namespace bilberrylead;
using namespace bilberrylead::policy;

// Guards against a part that changes decisions where all ranks are equal.
Test(admission_model, equal_ranks_are_decided_as_without_admission)
{
    model_load load = make_load(model_mode::none, 30, 1.5);
    load.rank_shares = {1};
    model_result const without = run(load);
    load.mode = model_mode::by_rank;
    expect_equal(run(load), without);
}

// Guards against chance that decides who is served: ranks 0, 1 and 2 on one
// service at 1.2 and 1.5 times its capacity.
Test(admission_model, urgent_ranks_are_served_at_least_as_often)
{
    for (double const offered : offered_loads)
    {
        for (std::size_t const hosts : host_counts)
        {
            for (model_mode const mode : both_modes)
            {
                expect_rank_order(run(make_load(mode, hosts, offered)),
                                  mode_names[static_cast<std::size_t>(mode)]);
            }
        }
    }
}

// Guards against a part that satisfies the order of ranks by chance only: rank
// 0 fits into the capacity several times.
Test(admission_model, most_urgent_rank_is_refused_less_than_without_admission)
{
    for (double const offered : offered_loads)
    {
        for (std::size_t const hosts : host_counts)
        {
            model_result const without =
                run(make_load(model_mode::none, hosts, offered));
            for (model_mode const mode : both_modes)
            {
                model_result const with = run(make_load(mode, hosts, offered));
                cr_expect_lt(with.refused_per_100(0),
                             without.refused_per_100(0) / 2);
            }
        }
    }
}

// Guards against admission that leaves capacity idle while requests are
// refused, with hosts that see 20 requests a second.
Test(admission_model, slots_are_in_use_with_30_hosts)
{
    check_slots_in_use(30);
}

// Guards against admission that leaves more capacity idle than there is idle
// without it, beyond the bound.
Test(admission_model, no_more_idle_slots_than_without_admission)
{
    for (double const offered : offered_loads)
    {
        for (std::size_t const hosts : host_counts)
        {
            double const without =
                run(make_load(model_mode::none, hosts, offered)).slots_in_use;
            for (model_mode const mode : both_modes)
            {
                cr_expect_geq(run(make_load(mode, hosts, offered)).slots_in_use,
                              min_slots_in_use * without);
            }
        }
    }
}

Test(admission_model, worst_tenth_of_customers_at_1_2_times_the_capacity)
{
    check_worst_tenth(1.2);
}

// Guards against a plan that does not help the customers within their share.
Test(admission_model, customers_within_their_share_lose_less_by_plan)
{
    for (std::size_t const hosts : host_counts)
    {
        model_load load = make_load(model_mode::none, hosts, 1);
        load.rank_shares = {1};
        load.pressing = 5;
        double const without = served_share_of_small_customers(run(load));
        load.mode = model_mode::by_plan;
        cr_expect_gt(served_share_of_small_customers(run(load)), without);
    }
}

// Guards against a plan that restricts the pressing customer no more than the
// others.
Test(admission_model, plan_restricts_a_pressing_customer_more_than_others)
{
    for (std::size_t const hosts : host_counts)
    {
        model_load load = make_load(model_mode::by_plan, hosts, 1.2);
        load.pressing = 5;
        model_result const pressed = run(load);
        cr_expect_lt(pressed.customers[0].served_share(),
                     served_share_of_small_customers(pressed) - 0.05);
    }
}

// Guards against hosts that depend on state that a restart loses.
Test(admission_model, restarted_hosts_keep_the_order_of_ranks)
{
    for (std::size_t const hosts : host_counts)
    {
        for (model_mode const mode : both_modes)
        {
            model_load load = make_load(mode, hosts, 1.5);
            load.restart_at = instant{} + 20s;
            load.warm_up = 20s;
            load.length = 35s;
            expect_rank_order(run(load), "restart");
        }
    }
}

// Guards against hosts that are added while capacity is insufficient: they
// start without state and without a plan, and must not take the slots of urgent
// requests at the other hosts, nor leave slots idle.
Test(admission_model, added_hosts_keep_the_order_of_ranks)
{
    for (std::size_t const hosts : host_counts)
    {
        for (model_mode const mode : both_modes)
        {
            model_load load = make_load(mode, hosts, 1.5);
            load.added_hosts = hosts / 2;
            load.hosts_added_at = instant{} + 20s;
            load.warm_up = 20s;
            load.length = 40s;
            model_result const added = run(load);
            expect_rank_order(added, "hosts added");
            load.hosts += load.added_hosts;
            load.added_hosts = 0;
            model_result const from_start = run(load);
            cr_expect_leq(added.refused_per_100(0),
                          from_start.refused_per_100(0) +
                              100 * max_less_often_served,
                          "%zu hosts", hosts);
            cr_expect_geq(added.slots_in_use, from_start.slots_in_use - 0.03,
                          "%zu hosts", hosts);
        }
    }
}

// Guards against hosts that follow a leader which was cut off and replaced: its
// plans, of an older term, arrive after those of the new leader.
Test(admission_model, plans_of_an_older_term_change_nothing)
{
    for (std::size_t const hosts : host_counts)
    {
        model_load load = make_load(model_mode::by_plan, hosts, 1.2);
        model_result const whole = run(load);
        load.divided_at = instant{} + 15s;
        expect_equal(run(load), whole);
        // The plans of the old leader matter to hosts that follow them.
        load.orders_plans = false;
        cr_expect_neq(run(load).ranks.at(0).served, whole.ranks.at(0).served);
    }
}

// Guards against hosts that follow an old plan or none at all after the leader
// is lost: from 10 s on they decide alone.
Test(admission_model, lost_plan_leaves_the_order_of_ranks)
{
    for (std::size_t const hosts : host_counts)
    {
        model_load load = make_load(model_mode::by_plan, hosts, 1.5);
        load.plan_lost_at = instant{} + 15s;
        load.warm_up = 15s;
        model_result const lost = run(load);
        expect_rank_order(lost, "plan lost");
        load.plan_lost_at = instant::max();
        cr_expect_geq(lost.slots_in_use, run(load).slots_in_use - 0.02);
    }
}

// Guards against capacity that stays idle, or urgent requests that are refused,
// when the plan takes the capacity for half or one and a half times of what it
// is.
Test(admission_model, plan_wrong_by_half_costs_little)
{
    for (double const error : {0.5, 1.5})
    {
        for (std::size_t const hosts : host_counts)
        {
            model_load load = make_load(model_mode::by_plan, hosts, 1.2);
            model_result const right = run(load);
            load.plan_error = error;
            model_result const wrong = run(load);
            expect_rank_order(wrong, "wrong plan");
            cr_expect_geq(wrong.slots_in_use, right.slots_in_use - 0.03);
            cr_expect_leq(wrong.refused_per_100(0),
                          right.refused_per_100(0) + 5);
        }
    }
}

// Guards against thresholds that stay low after an overload has ended.
Test(admission_model, ended_overload_leaves_no_refusals)
{
    for (std::size_t const hosts : host_counts)
    {
        model_load load = make_load(model_mode::none, hosts, 1.5);
        load.change_at = instant{} + 20s;
        load.later_offered = 0.7;
        load.warm_up = 35s;
        load.length = 60s;
        model_result const without = run(load);
        for (model_mode const mode : both_modes)
        {
            load.mode = mode;
            model_result const with = run(load);
            cr_expect_leq(with.refused_per_100(2),
                          without.refused_per_100(2) + 2, "%zu hosts", hosts);
        }
    }
}

// Compares the alternatives for the table: a short wait at the host in order of
// rank serves no rank better than another, since each host holds few requests.
Test(admission_model, short_ordered_wait_orders_ranks_less_than_by_rank)
{
    for (double const offered : offered_loads)
    {
        for (std::size_t const hosts : host_counts)
        {
            double const waiting =
                run(make_load(model_mode::ordered_wait, hosts, offered))
                    .refused_per_100(0);
            double const by_rank =
                run(make_load(model_mode::by_rank, hosts, offered))
                    .refused_per_100(0);
            cr_expect_lt(by_rank, waiting);
        }
    }
}
