#include "profile.hpp"

#include <chrono>
#include <numeric>

namespace policy_bench
{

using namespace std::chrono_literals;
using bilberrylead::duration;

namespace
{

std::vector<std::uint32_t> expand(std::vector<std::uint32_t> const& counts)
{
    std::vector<std::uint32_t> zones;
    for (std::uint32_t zone = 0; zone < counts.size(); ++zone)
    {
        zones.insert(zones.end(), counts[zone], zone);
    }
    return zones;
}

} // namespace

std::uint32_t profile::zones() const
{
    return static_cast<std::uint32_t>(this->zone_upstreams.size());
}

std::uint32_t profile::regions() const
{
    return this->zone_regions.back() + 1;
}

std::uint32_t profile::region_of(std::uint32_t zone) const
{
    return this->zone_regions[zone];
}

duration profile::distance(std::uint32_t from, std::uint32_t to) const
{
    if (this->zone_sites[from] == this->zone_sites[to])
    {
        return this->within_zone;
    }
    return this->region_of(from) == this->region_of(to) ? this->between_zones
                                                        : this->between_regions;
}

std::vector<std::uint32_t> profile::upstream_zones() const
{
    return expand(this->zone_upstreams);
}

std::vector<std::uint32_t> profile::entry_host_zones() const
{
    return expand(this->zone_entry_hosts);
}

double profile::zone_capacity(std::uint32_t zone, double slow_factor) const
{
    std::vector<std::uint32_t> const zones = this->upstream_zones();
    double sum = 0;
    for (std::size_t index = 0; index < zones.size(); ++index)
    {
        bool const slow = this->machines[index] == 0;
        sum += zones[index] != zone ? 0 : slow ? 1 / slow_factor : 1;
    }
    return sum * this->slots;
}

namespace
{

/// Three regions with two zones each, 9 entry hosts.
profile six_zones(std::string name, std::vector<std::uint32_t> upstreams,
                  duration between_zones)
{
    profile made;
    made.name = std::move(name);
    made.zone_upstreams = std::move(upstreams);
    made.zone_entry_hosts = {2, 1, 2, 1, 2, 1};
    made.zone_regions = {0, 0, 1, 1, 2, 2};
    made.zone_sites = {0, 1, 2, 3, 4, 5};
    made.machines.resize(made.upstream_zones().size());
    std::iota(made.machines.begin(), made.machines.end(), 0U);
    made.within_zone = 200us;
    made.between_zones = between_zones;
    made.between_regions = 35ms;
    return made;
}

} // namespace

profile letrasur()
{
    return six_zones("letrasur", {3, 3, 3, 2, 3, 2}, 1500us);
}

profile maksuamet()
{
    return six_zones("maksuamet", {3, 3, 3, 3, 3, 3}, 500us);
}

profile merge_regions(profile const& whole)
{
    profile merged = whole;
    merged.zone_upstreams.assign(whole.regions(), 0);
    merged.zone_entry_hosts.assign(whole.regions(), 0);
    merged.zone_regions.resize(whole.regions());
    std::iota(merged.zone_regions.begin(), merged.zone_regions.end(), 0U);
    merged.zone_sites = merged.zone_regions;
    for (std::uint32_t zone = 0; zone < whole.zones(); ++zone)
    {
        std::uint32_t const region = whole.region_of(zone);
        merged.zone_upstreams[region] += whole.zone_upstreams[zone];
        merged.zone_entry_hosts[region] += whole.zone_entry_hosts[zone];
    }
    merged.within_zone = {};
    return merged;
}

profile split_by_entry_host(profile const& whole)
{
    profile split = whole;
    split.slots = 1;
    split.zone_upstreams.clear();
    split.zone_entry_hosts.clear();
    split.zone_regions.clear();
    split.zone_sites.clear();
    split.machines.clear();
    std::uint32_t first_machine = 0;
    for (std::uint32_t zone = 0; zone < whole.zones(); ++zone)
    {
        std::uint32_t const hosts = whole.zone_entry_hosts[zone];
        std::uint32_t const slots = whole.zone_upstreams[zone] * whole.slots;
        for (std::uint32_t host = 0; host < hosts; ++host)
        {
            std::uint32_t dealt = 0;
            for (std::uint32_t slot = host; slot < slots; slot += hosts)
            {
                split.machines.push_back(first_machine + slot / whole.slots);
                ++dealt;
            }
            split.zone_upstreams.push_back(dealt);
            split.zone_entry_hosts.push_back(1);
            split.zone_regions.push_back(whole.zone_regions[zone]);
            split.zone_sites.push_back(zone);
        }
        first_machine += whole.zone_upstreams[zone];
    }
    return split;
}

} // namespace policy_bench
