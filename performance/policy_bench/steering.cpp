#include "steering.hpp"

#include <algorithm>
#include <numeric>

namespace policy_bench
{

using bilberrylead::duration;

namespace
{

/// Use of a region's slots beyond which its callers go elsewhere.
constexpr double largest_use = 0.97;

} // namespace

steering::steering(steering_kind kind, profile const& where,
                   scenario const& what)
    : where(where), host_zones(where.entry_host_zones())
{
    std::uint32_t const regions = where.regions();
    std::vector<double> capacities(regions, 0);
    this->host_weights.assign(regions,
                              std::vector<double>(host_zones.size(), 0));
    for (std::uint32_t zone = 0; zone < where.zones(); ++zone)
    {
        capacities[where.region_of(zone)] +=
            where.zone_capacity(zone, what.slow_factor);
    }
    for (std::uint32_t host = 0; host < host_zones.size(); ++host)
    {
        std::uint32_t const zone = host_zones[host];
        this->host_weights[where.region_of(zone)][host] =
            kind == steering_kind::even
                ? 1
                : where.zone_capacity(zone, what.slow_factor) /
                      where.zone_entry_hosts[zone];
    }

    // Each region's callers bring a third of the work. What is beyond the
    // largest use goes to the others by the room they have.
    double const demand = what.load * capacity(where, what) / regions;
    std::vector<double> room(regions, 0);
    for (std::uint32_t region = 0; region < regions; ++region)
    {
        room[region] = std::max(0.0, capacities[region] * largest_use - demand);
    }
    double const all_room = std::accumulate(room.begin(), room.end(), 0.0);
    for (std::uint32_t region = 0; region < regions; ++region)
    {
        double const beyond =
            kind == steering_kind::even || all_room == 0
                ? 0
                : std::max(0.0, demand - capacities[region] * largest_use);
        std::vector<double> weights(regions, 0);
        for (std::uint32_t other = 0; other < regions; ++other)
        {
            weights[other] =
                all_room == 0 ? 0 : beyond * room[other] / all_room;
        }
        weights[region] = demand - beyond;
        this->region_weights.push_back(weights);
    }
}

std::uint32_t steering::pick(std::vector<double> const& weights,
                             double at) const
{
    double left = at * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::uint32_t last = 0;
    for (std::uint32_t index = 0; index < weights.size(); ++index)
    {
        if (weights[index] <= 0)
        {
            continue;
        }
        last = index;
        left -= weights[index];
        if (left < 0)
        {
            break;
        }
    }
    return last;
}

std::uint32_t steering::entry_host(arrival const& request) const
{
    std::uint32_t const region =
        this->pick(this->region_weights[request.region], request.steer_region);
    return this->pick(this->host_weights[region], request.steer_host);
}

duration steering::extra(arrival const& request, std::uint32_t entry_host) const
{
    bool const own =
        this->where.region_of(this->host_zones[entry_host]) == request.region;
    return own ? duration{} : 2 * this->where.between_regions;
}

} // namespace policy_bench
