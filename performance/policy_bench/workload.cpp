#include "workload.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>

namespace policy_bench
{

using bilberrylead::duration;
using bilberrylead::instant;
using bilberrylead::config::work_length;
using bilberrylead::policy::generator;

namespace
{

constexpr double lookup_mean_s = 0.020;
constexpr double download_mean_s = 2.0;
constexpr double sigma = 1.0;
constexpr double burst_length_s = 0.1;
constexpr std::uint32_t callers = 100'000;
constexpr std::uint32_t heavy_callers = 3;

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

double log_normal(double mean, generator& random)
{
    double const radius = std::sqrt(-2 * std::log(1 - random.unit()));
    double const normal =
        radius * std::cos(2 * std::numbers::pi * random.unit());
    return mean * std::exp(sigma * normal - sigma * sigma / 2);
}

/// Time of the next arrival of a process whose rate rises in each second's
/// first tenth, by thinning.
double next_arrival(double now, double rate, double factor, generator& random)
{
    double const quiet = (1 - burst_length_s * factor) / (1 - burst_length_s);
    for (;;)
    {
        now += -std::log(1 - random.unit()) / (rate * factor);
        bool const in_burst = now - std::floor(now) < burst_length_s;
        double const share = in_burst ? 1.0 : quiet / factor;
        if (random.unit() < share)
        {
            return now;
        }
    }
}

} // namespace

double capacity(profile const& where, scenario const& what)
{
    double sum = 0;
    for (std::uint32_t zone = 0; zone < where.zones(); ++zone)
    {
        sum += where.zone_capacity(zone, what.slow_factor);
    }
    return sum;
}

std::vector<arrival> draw_arrivals(profile const& where, scenario const& what)
{
    generator random(what.seed);
    double const work_rate = what.load * capacity(where, what);
    double const lookups =
        work_rate * (1 - what.download_share) / lookup_mean_s;
    double const downloads = work_rate * what.download_share / download_mean_s;
    double const rate = lookups + downloads;
    std::vector<arrival> drawn;
    double now = 0;
    std::uint32_t count = 0;
    while (count < what.requests)
    {
        now = next_arrival(now, rate, what.burst_factor, random);
        arrival one;
        one.at = instant(seconds(now));
        bool const is_download = random.unit() * rate < downloads;
        one.length = is_download ? work_length::extended : work_length::brief;
        one.work = seconds(
            log_normal(is_download ? download_mean_s : lookup_mean_s, random));
        one.region = random.below(where.regions());
        one.heavy = random.unit() < what.heavy_share;
        one.flow = one.heavy ? random.below(heavy_callers)
                             : heavy_callers + random.below(callers);
        one.steer_region = random.unit();
        one.steer_host = random.unit();
        count += is_download ? 0 : 1;
        drawn.push_back(one);
    }
    return drawn;
}

} // namespace policy_bench
