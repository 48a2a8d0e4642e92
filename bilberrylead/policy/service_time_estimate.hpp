#ifndef BILBERRYLEAD_POLICY_SERVICE_TIME_ESTIMATE_HPP
#define BILBERRYLEAD_POLICY_SERVICE_TIME_ESTIMATE_HPP

#include "bilberrylead/core/time.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// Mean and upper quantiles of recent service times, from a histogram in which
/// old samples lose weight. Admission needs the tail and not only the mean: a
/// request that is admitted with just the mean service time left misses its
/// deadline every second time. Fixed memory, no allocation.
class service_time_estimate
{
public:
    /// Starts with an initial estimate that counts as four samples.
    explicit service_time_estimate(
        duration initial_estimate = std::chrono::milliseconds(20));

    /// Adds one measured service time.
    void add(duration sample);

    /// Mean of the recent samples; over 0.
    duration mean() const;

    /// The time that a `fraction` (0 to 1) of the recent samples did not
    /// exceed, rounded up to the end of its bucket (less than a fifth too
    /// high).
    duration quantile(double fraction) const;

private:
    /// Four buckets for each factor of two, from 64 microseconds to 17 minutes.
    static constexpr std::size_t bucket_count = 96;
    static std::size_t bucket_of(duration sample);

    std::array<std::uint32_t, bucket_count> buckets{};
    std::uint32_t total = 0;
    std::uint64_t samples = 0;
    double mean_ns = 0;
};

} // namespace bilberrylead::policy

#endif
