// Bounds of docs/design/hard_load.md, part 3, that are not met yet; see
// KNOWN-RED.txt and docs/design/admission.md. In a test of their own, so that
// they do not hide failures of other tests.
#include "tests/unit/policy/admission_model_runs.hpp"

#include <criterion/criterion.h>

#include <cstdint>

using namespace bilberrylead;
using namespace bilberrylead::policy;

// Guards against admission that leaves capacity idle while requests are
// refused, with hosts that see 6 requests a second.
Test(admission_bounds, slots_are_in_use_with_100_hosts)
{
    check_slots_in_use(100);
}

// The same with hosts that see 2 requests a second.
Test(admission_bounds, slots_are_in_use_with_300_hosts)
{
    check_slots_in_use(300);
}

Test(admission_bounds, worst_tenth_of_customers_at_1_5_times_the_capacity)
{
    check_worst_tenth(1.5);
}

Test(admission_bounds, customers_within_their_share_lose_nothing_with_100_hosts)
{
    check_loss_within_fair_share(100);
}

Test(admission_bounds, customers_within_their_share_lose_nothing_with_300_hosts)
{
    check_loss_within_fair_share(300);
}

// Guards against a customer that sends five times its usual rate and takes the
// capacity of the others. One rank: the fair share of a customer is a share of
// what more urgent ranks leave.
Test(admission_bounds, customers_within_their_share_lose_nothing_with_30_hosts)
{
    check_loss_within_fair_share(30);
}

// Guards against a burst of 6 s, shorter than a plan is valid, that takes the
// capacity of urgent requests.
Test(admission_bounds, burst_of_a_customer_leaves_urgent_requests_served)
{
    for (std::uint64_t const seed : model_seeds)
    {
        for (model_mode const mode : both_modes)
        {
            model_load load = make_load(mode, 30, 0.9);
            load.seed = seed;
            load.pressing = 8.5;
            load.burst_start = instant{} + 20s;
            load.burst_end = instant{} + 26s;
            load.warm_up = 20s;
            load.length = 28s;
            model_result const result = run(load);
            expect_rank_order(result, "burst");
            cr_expect_lt(result.refused_per_100(0), 5);
        }
    }
}
