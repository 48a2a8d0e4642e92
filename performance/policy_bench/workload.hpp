#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_WORKLOAD_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_WORKLOAD_HPP

#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/time.hpp"
#include "profile.hpp"
#include "scenario.hpp"

#include <cstdint>
#include <vector>

namespace policy_bench
{

/// One request as its caller sends it: the same for every policy.
struct arrival
{
    /// When it reaches an entry host.
    bilberrylead::instant at;
    /// Time it takes in a slot of a fast upstream.
    bilberrylead::duration work{};
    /// The caller's region.
    std::uint32_t region = 0;
    /// The caller.
    std::uint32_t flow = 0;
    /// Two numbers in [0, 1) that steering picks the entry host by.
    double steer_region = 0;
    /// See steer_region.
    double steer_host = 0;
    /// Look-up or download.
    bilberrylead::config::work_length length =
        bilberrylead::config::work_length::brief;
    /// True if its caller is one of the three heavy ones.
    bool heavy = false;
};

/// Work per second of wall time that the slots can do, in slots.
double capacity(profile const& where, scenario const& what);

/// Draws the arrivals of a scenario, in order of time.
std::vector<arrival> draw_arrivals(profile const& where, scenario const& what);

} // namespace policy_bench

#endif
