#ifndef BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_PROFILE_HPP
#define BILBERRYLEAD_PERFORMANCE_POLICY_BENCH_PROFILE_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace policy_bench
{

/// One user's hosts and links, for the service that look-ups go to.
struct profile
{
    /// The user.
    std::string name;
    /// Upstreams of each zone.
    std::vector<std::uint32_t> zone_upstreams;
    /// Entry hosts of each zone.
    std::vector<std::uint32_t> zone_entry_hosts;
    /// Region of each zone.
    std::vector<std::uint32_t> zone_regions;
    /// Where each zone stands: zones of one site have the latency of one
    /// zone between them (see split_by_entry_host).
    std::vector<std::uint32_t> zone_sites;
    /// The machine behind each upstream: several upstreams of one machine
    /// are slow or cold together.
    std::vector<std::uint32_t> machines;
    /// Slots of each upstream.
    std::uint32_t slots = 3;
    /// One-way latency between hosts of one zone.
    bilberrylead::duration within_zone{};
    /// One-way latency between the zones of one region.
    bilberrylead::duration between_zones{};
    /// One-way latency between regions.
    bilberrylead::duration between_regions{};

    /// Number of zones.
    std::uint32_t zones() const;
    /// Number of regions.
    std::uint32_t regions() const;
    /// Region of a zone.
    std::uint32_t region_of(std::uint32_t zone) const;
    /// Slots of a zone; those of a machine 0 that is `slow_factor` times
    /// slower for what they do.
    double zone_capacity(std::uint32_t zone, double slow_factor) const;
    /// One-way latency between two zones.
    bilberrylead::duration distance(std::uint32_t from, std::uint32_t to) const;
    /// The zone of each upstream, in order.
    std::vector<std::uint32_t> upstream_zones() const;
    /// The zone of each entry host, in order.
    std::vector<std::uint32_t> entry_host_zones() const;
};

/// Letrasur: 16 look-up upstreams, 9 entry hosts, zones 1.5 ms apart.
profile letrasur();

/// The same hosts, but each zone's slots are dealt out to its entry hosts
/// for good: every entry host is a zone of its own.
profile split_by_entry_host(profile const& whole);

/// The same hosts, but each region is one zone without distances in it.
profile merge_regions(profile const& whole);

/// Maksuamet: 18 query upstreams, 9 entry hosts, zones 0.5 ms apart.
profile maksuamet();

} // namespace policy_bench

#endif
