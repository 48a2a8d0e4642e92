#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_SCENARIO_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_SCENARIO_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace policy_bench
{

/// What one cell of the tables plays.
struct scenario
{
    /// Name in the tables.
    std::string name;
    /// Work that comes in, as a share of the work that the slots can do
    /// (a slow upstream's slots count for what they do).
    double load = 0.8;
    /// How many times slower upstream 0 is; 1 is as fast as the others.
    double slow_factor = 1;
    /// Share of the work that is downloads, 0 to 1.
    double download_share = 0;
    /// Share of the requests that three callers send, 0 to 1.
    double heavy_share = 0;
    /// Every second starts with 100 ms in which this many times as much
    /// comes in; 1 is no burst. The mean over the second is `load`.
    double burst_factor = 1;
    /// True if upstream 1 always reports that it is idle.
    bool lying_report = false;
    /// True if upstream 2 restarts a third into the run and its first 200
    /// requests take five times as long.
    bool cold_start = false;
    /// Look-ups to play.
    std::uint32_t requests = 60000;
    /// Seed of the arrivals and the work.
    std::uint64_t seed = 1;
    /// Time that a look-up has.
    bilberrylead::duration deadline = std::chrono::seconds(1);
};

} // namespace policy_bench

#endif
