#include "bilberrylead/policy/service_time_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace bilberrylead::policy
{

namespace
{

constexpr double buckets_per_octave = 4;
constexpr double first_bucket_end_ns = 64'000;
/// Number of samples at which all bucket counts are halved, so that a slowdown
/// of the upstream is visible within a few thousand answers.
constexpr std::uint32_t max_histogram_samples = 8192;
/// Minimum weight of one sample in the mean. It averages over about the last
/// thousand samples, which is two to three seconds of the work of a zone. Zones
/// compare their expected waits by these means. Averaged over a hundred
/// samples, the mean varies by a tenth, which at a wait of 150 ms is more than
/// the cost of moving a request within the region.
constexpr double min_mean_weight = 0.001;
/// Number of samples that the initial estimate counts as.
constexpr std::uint32_t initial_sample_count = 4;

} // namespace

service_time_estimate::service_time_estimate(duration initial_estimate)
    : mean_ns(static_cast<double>(initial_estimate.count()))
{
    this->buckets[bucket_of(initial_estimate)] = initial_sample_count;
    this->total = initial_sample_count;
}

std::size_t service_time_estimate::bucket_of(duration sample)
{
    double const ns = static_cast<double>(sample.count());
    if (ns <= first_bucket_end_ns)
    {
        return 0;
    }
    double const position =
        std::log2(ns / first_bucket_end_ns) * buckets_per_octave;
    return std::min(static_cast<std::size_t>(position) + 1, bucket_count - 1);
}

void service_time_estimate::add(duration sample)
{
    ++this->samples;
    double const weight = std::max(
        min_mean_weight,
        1.0 / static_cast<double>(this->samples + initial_sample_count));
    this->mean_ns +=
        weight * (static_cast<double>(sample.count()) - this->mean_ns);
    ++this->buckets[bucket_of(sample)];
    ++this->total;
    if (this->total < max_histogram_samples)
    {
        return;
    }
    this->total = 0;
    for (std::uint32_t& count : this->buckets)
    {
        count /= 2;
        this->total += count;
    }
}

duration service_time_estimate::mean() const
{
    return duration(
        std::max(std::int64_t{1}, static_cast<std::int64_t>(this->mean_ns)));
}

duration service_time_estimate::quantile(double fraction) const
{
    double const target_count = fraction * static_cast<double>(this->total);
    double counted = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < bucket_count; ++bucket)
    {
        counted += this->buckets[bucket];
        if (counted >= target_count)
        {
            break;
        }
    }
    double const octaves = static_cast<double>(bucket) / buckets_per_octave;
    return duration(
        static_cast<std::int64_t>(first_bucket_end_ns * std::exp2(octaves)));
}

} // namespace bilberrylead::policy
