#include "bilberrylead/policy/object_count.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bilberrylead::policy
{

namespace
{

/// Objects of a sample by the number of their requests.
struct request_classes
{
    double once = 0;
    double twice = 0;
    double all = 0;

    void add(std::uint32_t requests)
    {
        this->all += 1;
        this->once += requests == 1 ? 1 : 0;
        this->twice += requests == 2 ? 1 : 0;
    }
};

} // namespace

void object_count::record(std::uint64_t object, instant now)
{
    if (now - this->current_since >= window)
    {
        bool const is_consecutive = now - this->current_since < 2 * window;
        this->previous = is_consecutive ? this->current : generation{};
        this->current = {};
        this->current_since = now;
    }
    ++this->current.requests;
    if (object != 0)
    {
        this->current.sample.record(object);
    }
}

object_estimate object_count::estimate(instant now) const
{
    if (now - this->current_since >= 2 * window)
    {
        return {};
    }
    object_sample const& newer = this->current.sample;
    object_sample const& older = this->previous.sample;
    int const level = std::max(newer.level(), older.level());
    request_classes classes;
    for (object_sample::entry const& each : newer.entries())
    {
        if (object_sample::is_sampled(each.hash, level))
        {
            classes.add(each.count + older.count_of(each.hash));
        }
    }
    for (object_sample::entry const& each : older.entries())
    {
        if (object_sample::is_sampled(each.hash, level) &&
            newer.count_of(each.hash) == 0)
        {
            classes.add(each.count);
        }
    }
    double const unseen =
        classes.once * (classes.once - 1) / (2 * (classes.twice + 1));
    double const sampled = classes.all + unseen;
    // Variance of the estimator of Chao, and that of the sample.
    double const ratio = classes.once / std::max(classes.twice, 1.0);
    double const variance =
        std::max(classes.twice, 1.0) *
        (std::pow(ratio, 4) / 4 + std::pow(ratio, 3) + ratio * ratio / 2);
    double const sampled_share = std::exp2(-level);
    double const sample_variance = sampled * (1 - sampled_share);
    return {sampled / sampled_share,
            std::sqrt(variance + sample_variance) / sampled_share,
            this->current.requests + this->previous.requests};
}

} // namespace bilberrylead::policy
