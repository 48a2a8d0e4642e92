#ifndef BILBERRYLEAD_PERFORMANCE_SLOPE_TABLE_HPP
#define BILBERRYLEAD_PERFORMANCE_SLOPE_TABLE_HPP

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::performance
{

/// Nanoseconds that `work` takes, once.
template <class Work>
double nanoseconds_of(Work&& work)
{
    using clock = std::chrono::steady_clock;
    clock::time_point const start = clock::now();
    std::forward<Work>(work)();
    return std::chrono::duration<double, std::nano>(clock::now() - start)
        .count();
}

/// Least of `rounds` timings: what the machine can do when the others that
/// share it leave it alone.
template <class Work>
double least_nanoseconds_of(int rounds, Work&& work)
{
    double least = nanoseconds_of(work);
    for (int round = 1; round < rounds; ++round)
    {
        least = std::min(least, nanoseconds_of(work));
    }
    return least;
}

/// Nanoseconds of one step of the reference loop, a chain of dependent
/// multiplications: times are given as multiples of it, so that two
/// machines, or a busy and an idle one, can be compared.
inline double reference_step_nanoseconds()
{
    constexpr std::uint64_t steps = 20'000'000;
    std::uint64_t volatile seed = 1;
    double const total = least_nanoseconds_of(
        3,
        [&seed]
        {
            std::uint64_t value = seed;
            for (std::uint64_t i = 0; i < steps; ++i)
            {
                value = value * 6364136223846793005U + 1442695040888963407U;
            }
            seed = value;
        });
    return total / static_cast<double>(steps);
}

/// Median of what nanoseconds_of gives for no work at all.
inline double clock_nanoseconds()
{
    constexpr std::size_t rounds = 100'000;
    std::vector<double> times(rounds);
    for (double& time : times)
    {
        time = nanoseconds_of([] {});
    }
    std::sort(times.begin(), times.end());
    return times[rounds / 2];
}

/// What was measured at several sizes, and the line through it.
class slope_table
{
public:
    /// `unit` is the unit of the values, `per` what the sizes count; values
    /// in nanoseconds are also shown as multiples of the reference step.
    slope_table(std::string title, std::string unit, std::string per)
        : title(std::move(title)), unit(std::move(unit)), per(std::move(per))
    {
    }

    /// Adds the value that was measured at a size.
    void add(std::size_t size, double value)
    {
        this->sizes.push_back(static_cast<double>(size));
        this->values.push_back(value);
    }

    /// Prints sizes, values, slope, intercept and the largest residual in
    /// percent of the value.
    void print(double reference_nanoseconds) const
    {
        fmt::print("\n{} ({} by number of {})\n", this->title, this->unit,
                   this->per);
        fmt::print("{:>12} {:>16} {:>14}\n", "size", this->unit, "each");
        for (std::size_t i = 0; i < this->sizes.size(); ++i)
        {
            fmt::print("{:>12.0f} {:>16.0f} {:>14.2f}\n", this->sizes[i],
                       this->values[i], this->values[i] / this->sizes[i]);
        }
        this->print_fit(reference_nanoseconds);
        std::fflush(stdout);
    }

private:
    void print_fit(double reference_nanoseconds) const
    {
        double const count = static_cast<double>(this->sizes.size());
        double mean_size = 0;
        double mean_value = 0;
        for (std::size_t i = 0; i < this->sizes.size(); ++i)
        {
            mean_size += this->sizes[i] / count;
            mean_value += this->values[i] / count;
        }
        double covariance = 0;
        double variance = 0;
        for (std::size_t i = 0; i < this->sizes.size(); ++i)
        {
            double const off = this->sizes[i] - mean_size;
            covariance += off * (this->values[i] - mean_value);
            variance += off * off;
        }
        double const slope = covariance / variance;
        double const intercept = mean_value - slope * mean_size;
        double worst = 0;
        for (std::size_t i = 0; i < this->sizes.size(); ++i)
        {
            double const fitted = intercept + slope * this->sizes[i];
            worst = std::max(worst, std::abs(fitted - this->values[i]) /
                                        this->values[i]);
        }
        fmt::print("fit: {:.3f} {} each + {:.0f}, largest residual {:.1f} %",
                   slope, this->unit, intercept, 100 * worst);
        if (this->unit == "ns")
        {
            fmt::print(", {:.1f} reference steps each",
                       slope / reference_nanoseconds);
        }
        fmt::print("\n");
    }

    std::string title;
    std::string unit;
    std::string per;
    std::vector<double> sizes;
    std::vector<double> values;
};

} // namespace bilberrylead::performance

#endif
