#include "bilberrylead/policy/upstream_estimate.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace bilberrylead::policy
{

namespace
{

/// Weight of the newest report. The number of requests from other entry hosts
/// is about three and changes with each of them; the average of the newest
/// report and the previous estimate varies less than either.
constexpr double report_weight = 0.5;
/// Weight of the newest run. It averages over about the last five runs, since
/// run times of single requests differ by a third.
constexpr double run_weight = 0.2;
/// Time constants of the exponential decay towards the sibling mean: the age at
/// which a report or a run has a weight of 1/e, about a third. A report stays
/// relevant for several service times. The slowdown decays slowly enough that a
/// slow upstream does not receive every second request.
constexpr std::chrono::duration<double> report_time_constant{1.0};
constexpr std::chrono::duration<double> run_time_constant{4.0};
constexpr double min_slowdown = 0.25;
constexpr double max_slowdown = 16;
/// Minimum number of requests beyond its slots that a full upstream is assumed
/// to hold.
constexpr double min_excess_when_full = 1;

double decay_weight(instant recorded_at, instant now,
                    std::chrono::duration<double> time_constant)
{
    std::chrono::duration<double> const age = now - recorded_at;
    return std::exp(-std::max(0.0, age.count()) / time_constant.count());
}

} // namespace

void upstream_estimate::record_run(duration run_time, duration sibling_mean,
                                   instant now)
{
    assert(sibling_mean > duration::zero());
    double const ratio =
        std::clamp(static_cast<double>(run_time.count()) /
                       static_cast<double>(sibling_mean.count()),
                   min_slowdown, max_slowdown);
    double const previous = this->slowdown(now);
    this->mean_slowdown = previous + run_weight * (ratio - previous);
    this->last_run_at = now;
    this->has_run = true;
}

void upstream_estimate::record_report(std::uint32_t held,
                                      std::uint32_t from_this_host, instant now)
{
    double const held_by_others_now =
        held > from_this_host ? held - from_this_host : 0;
    this->mean_held_by_others =
        this->has_report ? this->mean_held_by_others +
                               report_weight * (held_by_others_now -
                                                this->mean_held_by_others)
                         : held_by_others_now;
    this->last_report_at = now;
    this->has_report = true;
}

void upstream_estimate::record_refusal(std::uint32_t slots,
                                       std::uint32_t from_this_host,
                                       instant now)
{
    double const full = slots + min_excess_when_full - from_this_host;
    this->mean_held_by_others =
        std::max({this->mean_held_by_others, full, 0.0});
    this->last_report_at = now;
    this->has_report = true;
}

double upstream_estimate::held_by_others(double sibling_mean, instant now) const
{
    if (!this->has_report)
    {
        return sibling_mean;
    }
    return sibling_mean +
           decay_weight(this->last_report_at, now, report_time_constant) *
               (this->mean_held_by_others - sibling_mean);
}

double upstream_estimate::slowdown(instant now) const
{
    return this->has_run
               ? 1.0 + decay_weight(this->last_run_at, now, run_time_constant) *
                           (this->mean_slowdown - 1.0)
               : 1.0;
}

} // namespace bilberrylead::policy
