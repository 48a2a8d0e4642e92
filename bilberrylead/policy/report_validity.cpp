#include "bilberrylead/policy/report_validity.hpp"

#include <algorithm>
#include <iterator>

namespace bilberrylead::policy
{

namespace
{

/// Weight of the newest report in the mean, which averages over about a
/// hundred reports. Errors are measured from the mean, since two unrelated
/// reports have it in common.
constexpr double mean_weight = 0.01;
/// Pairs over which errors are summed. With 0.15 of the reports slow, they
/// contain 75 slow ones; with a tenth of that the estimate follows chance.
constexpr double remembered_pairs = 500;
/// Pairs between two steps of the estimate, so that a few unusual pairs move it
/// by a factor of 1.4 at most.
constexpr std::size_t pairs_per_step = 50;

} // namespace

double report_validity::weight_within(duration age, duration validity)
{
    return std::clamp(1.0 - static_cast<double>(age.count()) /
                                static_cast<double>(validity.count()),
                      0.0, 1.0);
}

void report_validity::record(double earlier, double later, duration between)
{
    this->mean_report += mean_weight * (later - this->mean_report);
    if (between >= validities.back())
    {
        // Every validity predicts the same.
        return;
    }
    double const first = earlier - this->mean_report;
    double const second = later - this->mean_report;
    for (std::size_t index = 0; index < validities.size(); ++index)
    {
        double const error =
            second - weight_within(between, validities[index]) * first;
        this->errors[index] +=
            error * error - this->errors[index] / remembered_pairs;
    }
    if (++this->pairs_since_step >= pairs_per_step)
    {
        this->pairs_since_step = 0;
        this->step();
    }
}

/// Moves the estimate by one place towards the least error. Reports that never
/// change have equal errors and leave it as it is.
void report_validity::step()
{
    auto const least =
        std::min_element(this->errors.begin(), this->errors.end());
    if (!(*least < this->errors[this->current]))
    {
        return;
    }
    std::size_t const best =
        static_cast<std::size_t>(std::distance(this->errors.begin(), least));
    this->current =
        best > this->current ? this->current + 1 : this->current - 1;
}

} // namespace bilberrylead::policy
