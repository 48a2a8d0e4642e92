#include "bilberrylead/policy/service_time_estimate.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

Test(service_time_estimate,
     initial_estimate_is_negligible_after_a_hundred_samples)
{
    service_time_estimate estimate(20ms);
    for (int sample = 0; sample < 100; ++sample)
    {
        estimate.add(5ms);
    }
    cr_assert(estimate.mean() > 5ms && estimate.mean() < 6ms);
}

// Guards against two equally loaded zones that move requests back and forth
// because their means differ. Fails with a weight of 0.01, which averages over
// the last hundred samples.
Test(service_time_estimate, mean_of_scattered_samples_varies_little)
{
    service_time_estimate estimate(20ms);
    for (int sample = 0; sample < 5000; ++sample)
    {
        estimate.add(sample % 20 == 0 ? 210ms : 10ms);
    }
    duration lowest = estimate.mean();
    duration highest = estimate.mean();
    for (int sample = 0; sample < 5000; ++sample)
    {
        // The same fraction of long samples, but in clusters of five.
        estimate.add(sample % 100 < 5 ? 210ms : 10ms);
        lowest = std::min(lowest, estimate.mean());
        highest = std::max(highest, estimate.mean());
    }
    cr_assert(highest - lowest < 2ms);
}

Test(service_time_estimate, quantile_is_rounded_up_by_under_a_fifth)
{
    service_time_estimate estimate(10ms);
    for (int sample = 0; sample < 2000; ++sample)
    {
        estimate.add(sample % 100 == 0 ? 200ms : 10ms);
    }
    cr_assert(estimate.quantile(0.5) >= 10ms);
    cr_assert(estimate.quantile(0.5) < 12ms);
    cr_assert(estimate.quantile(0.999) >= 200ms);
    cr_assert(estimate.quantile(0.999) < 240ms);
}
