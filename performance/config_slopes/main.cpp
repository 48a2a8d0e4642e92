#include "bilberrylead/config/check.hpp"
#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/delta.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/core/bytes.hpp"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <exception>
#include <string>

// What a configuration costs by its number of caller blocks: text, parse,
// check, and a delta of one changed block.

namespace
{

using namespace bilberrylead;

constexpr std::array<std::size_t, 4> sizes = {1'000, 5'000, 20'000, 80'000};

config::configuration make_configuration(std::size_t blocks)
{
    config::configuration value;
    value.services.push_back({service_id("lyrics"), {}, true});
    value.places.push_back({zone_id("mvd-a"), region_id("mvd"), {}});
    for (std::size_t index = 0; index < blocks; ++index)
    {
        constexpr std::size_t byte = 256;
        value.callers.push_back(
            {fmt::format("10.{}.{}.0/24", index / byte % byte, index % byte),
             zone_id("mvd-a"),
             {{"kind", "karaoke"}}});
        if (index >= byte * byte)
        {
            value.callers.back().block =
                fmt::format("11.{}.{}.0/24", index / byte % byte, index % byte);
        }
    }
    config::sort_by_name(value);
    return value;
}

/// Milliseconds that some work takes.
template <class Work>
double time_of(Work work)
{
    std::chrono::steady_clock::time_point const begin =
        std::chrono::steady_clock::now();
    work();
    std::chrono::duration<double, std::milli> const spent =
        std::chrono::steady_clock::now() - begin;
    return spent.count();
}

void measure(std::size_t blocks)
{
    config::configuration const value = make_configuration(blocks);
    config::configuration changed = value;
    changed.callers[blocks / 2].labels["kind"] = "publisher";
    std::string const text = config::render_configuration(value);
    bytes const delta = config::make_delta(value, changed);
    bool good = true;
    double const parse = time_of(
        [&]
        {
            good = config::parse_configuration(text, "slopes").ok() && good;
        });
    double const check = time_of(
        [&]
        {
            good = config::check(value).ok() && good;
        });
    double const make = time_of(
        [&]
        {
            good = !config::make_delta(value, changed).empty() && good;
        });
    double const apply = time_of(
        [&]
        {
            good = config::apply_delta(value, delta).ok() && good;
        });
    fmt::print("{:>8} {:>12} {:>12} {:>10.1f} {:>10.1f} {:>10.1f} {:>10.1f}"
               "{}\n",
               blocks, text.size(), delta.size(), parse, check, make, apply,
               good ? "" : " FAILED");
}

} // namespace

int main()
{
    try
    {
        fmt::print("Configuration by caller blocks; times in ms, one run\n"
                   "{:>8} {:>12} {:>12} {:>10} {:>10} {:>10} {:>10}\n",
                   "blocks", "text bytes", "delta bytes", "parse", "check",
                   "make", "apply");
        for (std::size_t const blocks : sizes)
        {
            measure(blocks);
        }
        return 0;
    }
    catch (std::exception const& error)
    {
        fmt::print(stderr, "config_slopes: {}\n", error.what());
        return 1;
    }
}
