#include "bilberrylead/policy/upstream_estimate.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace bilberrylead::policy
{

namespace
{

/// Weight of the newest report. What others hold changes with each of their
/// requests, three or so at a time: half of the newest and half of the ones
/// before is steadier than either.
constexpr double report_weight = 0.5;
/// Weight of the newest run: about the last five, since single runs differ
/// by a third.
constexpr double run_weight = 0.2;
/// Ages at which a report and a run count for a third: several service
/// times for what others hold; long enough for slowness that a slow
/// upstream is not tried by every second request.
constexpr std::chrono::duration<double> report_memory{1.0};
constexpr std::chrono::duration<double> run_memory{4.0};
constexpr double least_slowness = 0.25;
constexpr double most_slowness = 16;
/// What a full upstream holds beyond its slots, at least.
constexpr double full_excess = 1;

double trust(instant since, instant now, std::chrono::duration<double> memory)
{
    std::chrono::duration<double> const age = now - since;
    return std::exp(-std::max(0.0, age.count()) / memory.count());
}

} // namespace

void upstream_estimate::ran(duration time, duration usual, instant now)
{
    assert(usual > duration::zero());
    double const ratio = std::clamp(static_cast<double>(time.count()) /
                                        static_cast<double>(usual.count()),
                                    least_slowness, most_slowness);
    double const before = this->slowness(now);
    this->slow = before + run_weight * (ratio - before);
    this->ran_at = now;
    this->has_run = true;
}

void upstream_estimate::reported(std::uint32_t held, std::uint32_t own,
                                 instant now)
{
    double const others_now = held > own ? held - own : 0;
    this->held_by_others =
        this->is_reported
            ? this->held_by_others +
                  report_weight * (others_now - this->held_by_others)
            : others_now;
    this->reported_at = now;
    this->is_reported = true;
}

void upstream_estimate::turned_away(std::uint32_t slots, std::uint32_t own,
                                    instant now)
{
    double const full = slots + full_excess - own;
    this->held_by_others = std::max({this->held_by_others, full, 0.0});
    this->reported_at = now;
    this->is_reported = true;
}

double upstream_estimate::others(double usual, instant now) const
{
    if (!this->is_reported)
    {
        return usual;
    }
    return usual + trust(this->reported_at, now, report_memory) *
                       (this->held_by_others - usual);
}

double upstream_estimate::slowness(instant now) const
{
    return this->has_run
               ? 1.0 + trust(this->ran_at, now, run_memory) * (this->slow - 1.0)
               : 1.0;
}

} // namespace bilberrylead::policy
