#include "bilberrylead/policy/steering_policy.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <optional>

namespace bilberrylead::policy
{

namespace
{

constexpr double largest_weight = 1000;

} // namespace

steering_policy::steering_policy(std::vector<steering_zone> const& zones,
                                 std::vector<steering_host> const& hosts,
                                 steering_settings const& settings)
    : settings(settings), places(zones), hosts(hosts), taking(zones.size())
{
    assert(settings.shortest_ttl <= settings.longest_ttl);
    for (std::size_t zone = 0; zone < zones.size(); ++zone)
    {
        std::size_t const region = zones[zone].region;
        if (region >= this->own_zones.size())
        {
            this->own_zones.resize(region + 1);
        }
        this->own_zones[region].push_back(zone);
        this->list_hosts(zone);
    }
}

void steering_policy::list_hosts(std::size_t zone)
{
    zone_hosts& listed = this->taking[zone];
    listed.hosts.clear();
    listed.weight = 0;
    for (std::size_t index = 0; index < this->hosts.size(); ++index)
    {
        steering_host const& host = this->hosts[index];
        if (host.zone == zone && host.takes_callers && host.weight > 0)
        {
            listed.hosts.push_back(index);
            listed.weight += host.weight;
        }
    }
}

void steering_policy::report(std::size_t zone, std::uint32_t slots,
                             double in_use, instant now)
{
    // What was handed out fades into the reports: about two thirds of it
    // shows after the lag.
    steering_zone& place = this->places.at(zone);
    duration const passed = now - place.reported_at;
    place.handed_out *=
        std::exp(-static_cast<double>(passed.count()) /
                 static_cast<double>(this->settings.report_lag.count()));
    place.slots = slots;
    place.in_use = in_use;
    place.reported_at = now;
}

void steering_policy::set_takes_callers(std::size_t host, bool takes_callers)
{
    this->hosts.at(host).takes_callers = takes_callers;
    this->list_hosts(this->hosts[host].zone);
}

steering_answer steering_policy::answer(std::size_t region,
                                        traffic_shares const& shares,
                                        instant /*now*/, generator& random)
{
    steering_answer given;
    std::size_t const serving = this->pick_region(region, shares, random);
    if (!this->add_picked(serving, given, random))
    {
        // The region is lost and its callers were not moved yet, for want
        // of room or by the cap: not run, come back when the plan went on.
        given.ttl = this->settings.shortest_ttl;
        return given;
    }
    steering_zone& zone = this->places[this->hosts[given.hosts[0].host].zone];
    double const ample = std::clamp(
        this->free_share(zone) / this->settings.ample_room, 0.0, 1.0);
    duration const spread =
        this->settings.longest_ttl - this->settings.shortest_ttl;
    given.ttl = this->settings.shortest_ttl +
                duration(static_cast<std::int64_t>(
                    ample * static_cast<double>(spread.count())));
    if (this->settings.count_handed_out)
    {
        zone.handed_out += this->settings.slots_per_answer;
    }
    this->add_fallbacks(serving, given);
    return given;
}

std::size_t steering_policy::pick_region(std::size_t region,
                                         traffic_shares const& shares,
                                         generator& random) const
{
    std::uint32_t at = random.below(traffic_shares::whole);
    for (std::size_t to = 0; to < shares.regions(); ++to)
    {
        std::uint32_t const share = shares.at(region, to);
        if (at < share)
        {
            return to;
        }
        at -= share;
    }
    return region;
}

double steering_policy::free_share(steering_zone const& zone) const
{
    if (zone.slots == 0)
    {
        return 0;
    }
    double const free = zone.slots - zone.in_use - zone.handed_out;
    return std::max(0.0, free / zone.slots);
}

double steering_policy::room(std::size_t zone) const
{
    if (this->taking[zone].weight == 0)
    {
        return 0;
    }
    steering_zone const& place = this->places[zone];
    return std::max(this->settings.least_weight, this->free_share(place)) *
           place.slots;
}

std::size_t steering_policy::pick_host(std::size_t zone,
                                       generator& random) const
{
    zone_hosts const& listed = this->taking[zone];
    std::uint32_t at = random.below(listed.weight);
    for (std::size_t const host : listed.hosts)
    {
        if (at < this->hosts[host].weight)
        {
            return host;
        }
        at -= this->hosts[host].weight;
    }
    return listed.hosts.back();
}

bool steering_policy::add_picked(std::size_t region, steering_answer& given,
                                 generator& random) const
{
    // A zone by chance, as likely as its room says; then one of its hosts.
    double total = 0;
    for (std::size_t const zone : this->own_zones[region])
    {
        total += this->room(zone);
    }
    double left = random.unit() * total;
    std::optional<std::size_t> picked;
    for (std::size_t const zone : this->own_zones[region])
    {
        double const own = this->room(zone);
        if (own <= 0)
        {
            continue;
        }
        picked = zone;
        left -= own;
        if (left < 0)
        {
            break;
        }
    }
    if (!picked.has_value())
    {
        return false;
    }
    std::size_t const host = this->pick_host(*picked, random);
    double const part = this->room(*picked) / total * this->hosts[host].weight /
                        this->taking[*picked].weight;
    given.hosts[0] = {host, static_cast<std::uint32_t>(std::max(
                                1.0, std::round(largest_weight * part)))};
    given.count = 1;
    return true;
}

void steering_policy::add_fallbacks(std::size_t region,
                                    steering_answer& given) const
{
    // Others for when the first does not answer: of the same region only,
    // since a caller that goes elsewhere by itself is a move beyond the cap.
    for (std::size_t const zone : this->own_zones[region])
    {
        for (std::size_t const host : this->taking[zone].hosts)
        {
            if (given.count == steering_answer::most_hosts)
            {
                return;
            }
            if (host != given.hosts[0].host)
            {
                given.hosts[given.count] = {host, 1};
                ++given.count;
            }
        }
    }
}

} // namespace bilberrylead::policy
