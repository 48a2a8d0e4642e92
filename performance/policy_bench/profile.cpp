#include "profile.hpp"

#include <chrono>
#include <numeric>

namespace policy_bench
{

using namespace std::chrono_literals;
using bilberrylead::duration;

namespace
{

constexpr std::uint32_t zones_per_region = 2;

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
    return this->zones() / zones_per_region;
}

std::uint32_t profile::region_of(std::uint32_t zone) const
{
    return zone / zones_per_region;
}

duration profile::distance(std::uint32_t from, std::uint32_t to) const
{
    if (from == to)
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

profile letrasur()
{
    return {
        "letrasur", {3, 3, 3, 2, 3, 2}, {2, 1, 2, 1, 2, 1}, 3, 200us, 1500us,
        35ms};
}

profile maksuamet()
{
    return {
        "maksuamet", {3, 3, 3, 3, 3, 3}, {2, 1, 2, 1, 2, 1}, 3, 200us, 500us,
        35ms};
}

} // namespace policy_bench
