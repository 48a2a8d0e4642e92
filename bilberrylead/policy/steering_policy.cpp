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

steering_policy::steering_policy(
    std::vector<steering_zone> const& zones,
    std::vector<steering_host> const& hosts,
    std::vector<std::vector<std::size_t>> const& nearest,
    steering_settings const& settings)
    : settings(settings), places(zones), hosts(hosts), nearest(nearest)
{
    assert(settings.shortest_ttl <= settings.longest_ttl);
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
}

steering_answer steering_policy::answer(std::size_t region,
                                        traffic_shares const& shares,
                                        instant /*now*/, generator& random)
{
    steering_answer given;
    std::size_t const serving = this->pick_region(region, shares, random);
    this->add_picked(serving, given, random);
    if (given.count == 0)
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

double steering_policy::weight(steering_host const& host,
                               std::size_t region) const
{
    steering_zone const& zone = this->places[host.zone];
    if (!host.takes_callers || host.weight == 0 || zone.region != region ||
        zone.slots == 0)
    {
        return 0;
    }
    // The zone's free slots, shared out among its hosts by their weights.
    std::uint32_t zone_weight = 0;
    for (steering_host const& other : this->hosts)
    {
        bool const counts = other.zone == host.zone && other.takes_callers;
        zone_weight += counts ? other.weight : 0;
    }
    double const room =
        std::max(this->settings.least_weight, this->free_share(zone));
    return room * zone.slots * host.weight / zone_weight;
}

void steering_policy::add_picked(std::size_t region, steering_answer& given,
                                 generator& random) const
{
    // One host by chance, each as likely as its weight says.
    double total = 0;
    for (steering_host const& host : this->hosts)
    {
        total += this->weight(host, region);
    }
    double left = random.unit() * total;
    std::optional<std::size_t> picked;
    for (std::size_t index = 0; index < this->hosts.size(); ++index)
    {
        double const own = this->weight(this->hosts[index], region);
        if (own <= 0)
        {
            continue;
        }
        picked = index;
        left -= own;
        if (left < 0)
        {
            break;
        }
    }
    if (!picked.has_value())
    {
        return;
    }
    double const part = this->weight(this->hosts[*picked], region) / total;
    given.hosts[0] = {*picked, static_cast<std::uint32_t>(std::max(
                                   1.0, std::round(largest_weight * part)))};
    given.count = 1;
}

void steering_policy::add_fallbacks(std::size_t region,
                                    steering_answer& given) const
{
    // Others for when the first does not answer: of the same region only,
    // since a caller that goes elsewhere by itself is a move beyond the cap.
    for (std::size_t const zone : this->nearest[region])
    {
        for (std::size_t index = 0; index < this->hosts.size(); ++index)
        {
            steering_host const& host = this->hosts[index];
            bool const usable =
                host.zone == zone && this->weight(host, region) > 0;
            if (!usable || given.count == given.most_hosts ||
                contains(given, index))
            {
                continue;
            }
            given.hosts[given.count] = {index, 1};
            ++given.count;
        }
    }
}

bool steering_policy::contains(steering_answer const& given, std::size_t host)
{
    for (std::size_t index = 0; index < given.count; ++index)
    {
        if (given.hosts[index].host == host)
        {
            return true;
        }
    }
    return false;
}

} // namespace bilberrylead::policy
