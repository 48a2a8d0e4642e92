#ifndef BILBERRYLEAD_POLICY_SERVICE_TIME_ESTIMATE_HPP
#define BILBERRYLEAD_POLICY_SERVICE_TIME_ESTIMATE_HPP

#include "bilberrylead/core/time.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// What service times of late looked like: mean and upper quantiles, from
/// a histogram that forgets. Admission needs the tail, not only the mean: a
/// request that is let in with just the mean left misses its deadline every
/// second time. Fixed memory, no allocation.
class service_time_estimate
{
public:
    /// Starts from a guess that counts as four samples.
    explicit service_time_estimate(
        duration initial_estimate = std::chrono::milliseconds(20));

    /// Takes one measured service time.
    void add(duration sample);

    /// Mean of late; over 0.
    duration mean() const;

    /// The time that `share` (0 to 1) of the samples of late stayed under,
    /// rounded up to the bucket's end (under a fifth too much).
    duration quantile(double fraction) const;

private:
    /// Four buckets to a factor of two, from 64 microseconds to 17 minutes.
    static constexpr std::size_t bucket_count = 96;
    static std::size_t bucket_of(duration sample);

    std::array<std::uint32_t, bucket_count> buckets{};
    std::uint32_t total = 0;
    std::uint64_t samples = 0;
    double mean_ns = 0;
};

} // namespace bilberrylead::policy

#endif
