#ifndef BILBERRYLEAD_POLICY_REPORT_VALIDITY_HPP
#define BILBERRYLEAD_POLICY_REPORT_VALIDITY_HPP

#include "bilberrylead/core/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>

namespace bilberrylead::policy
{

/// Estimates how long the reported speed of an upstream stays valid, from
/// consecutive reports of all upstreams of one service at this entry host.
/// Fixed memory, no allocation.
///
/// Load it handles: services whose upstreams change their speed every 150 ms
/// to every few seconds. One upstream reports twice a second to one host, which
/// is too rare to learn from; all upstreams of a service report often enough.
/// A validity that is too long takes an upstream for slow after its moment has
/// passed, one that is too short does not use the report.
///
/// Each of a fixed set of validities predicts the second report of a pair from
/// the first one and the time between them. The one with the least squared
/// error over recent pairs is in force; the estimate moves to it step by step.
class report_validity
{
public:
    /// Learns from two consecutive reports of one upstream.
    void record(double earlier, double later, duration between);

    /// Age from which a report has no weight.
    duration validity() const
    {
        return validities[this->current];
    }

    /// Weight of a report of that age: from 1 linearly to 0.
    double weight(duration age) const
    {
        return weight_within(age, this->validity());
    }

private:
    /// Steps of a factor of 1.4, which is finer than what some hundred pairs
    /// can tell apart. Below 100 ms a report is out of date before the next
    /// request; beyond 4 s the lasting estimate of run times takes over.
    static constexpr std::array<std::chrono::milliseconds, 12> validities{
        {std::chrono::milliseconds(100), std::chrono::milliseconds(140),
         std::chrono::milliseconds(200), std::chrono::milliseconds(280),
         std::chrono::milliseconds(400), std::chrono::milliseconds(550),
         std::chrono::milliseconds(750), std::chrono::milliseconds(1000),
         std::chrono::milliseconds(1500), std::chrono::milliseconds(2000),
         std::chrono::milliseconds(3000), std::chrono::milliseconds(4000)}};
    /// 550 ms, near the geometric middle of the range.
    static constexpr std::size_t initial = 5;

    static double weight_within(duration age, duration validity);
    void step();

    std::array<double, validities.size()> errors{};
    double mean_report = 1;
    std::size_t current = initial;
    std::size_t pairs_since_step = 0;
};

} // namespace bilberrylead::policy

#endif
