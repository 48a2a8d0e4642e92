#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_STEERING_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_STEERING_HPP

#include "bilberrylead/core/time.hpp"
#include "profile.hpp"
#include "workload.hpp"

#include <cstdint>
#include <vector>

namespace policy_bench
{

/// Which entry host callers go to.
enum class steering_kind
{
    /// Any one of their region.
    even,
    /// By the zones' slots; to another region only what is beyond 97 % of
    /// the own region's slots.
    by_capacity,
};

/// Sends callers to entry hosts.
class steering
{
public:
    /// Makes a steering of `kind` for this scenario.
    steering(steering_kind kind, profile const& where, scenario const& what);

    /// The entry host that the request's caller goes to.
    std::uint32_t entry_host(arrival const& request) const;

    /// What the way to that host's region adds to the latency.
    bilberrylead::duration extra(arrival const& request,
                                 std::uint32_t entry_host) const;

private:
    std::uint32_t pick(std::vector<double> const& weights, double at) const;

    profile where;
    std::vector<std::uint32_t> host_zones;
    /// For each region of callers, the weight of each region.
    std::vector<std::vector<double>> region_weights;
    /// For each region, the weight of each entry host.
    std::vector<std::vector<double>> host_weights;
};

} // namespace policy_bench

#endif
