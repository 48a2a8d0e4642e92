// Bounds of docs/design/hard_load.md, part 3, that are not met yet; see
// KNOWN-RED.txt and docs/design/admission.md. In a test of their own, so that
// they do not hide failures of other tests.
#include "tests/unit/policy/admission_model_runs.hpp"

#include <criterion/criterion.h>

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
