#include "bilberrylead/entry/routing_table.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace bilberrylead::entry
{

namespace
{

bool matches(config::labels const& wanted, config::labels const* carried)
{
    if (wanted.empty())
    {
        return true;
    }
    if (carried == nullptr)
    {
        return false;
    }
    return std::all_of(wanted.begin(), wanted.end(),
                       [carried](config::labels::value_type const& pair)
                       {
                           auto const found = carried->find(pair.first);
                           return found != carried->end() &&
                                  found->second == pair.second;
                       });
}

} // namespace

routing_table::routing_table(
    std::shared_ptr<config::configuration const> accepted)
    : content(std::move(accepted))
{
    assert(this->content != nullptr);
    for (config::service const& service : this->content->services)
    {
        this->services[service.id] = &service;
    }
    for (config::upstream const& upstream : this->content->upstreams)
    {
        this->upstreams[upstream.service].push_back(&upstream);
    }
    for (config::selector const& selector : this->content->selectors)
    {
        this->selectors[selector.service].push_back(&selector);
    }
}

config::service const* routing_table::find_service(service_id const& id) const
{
    auto const found = this->services.find(id);
    return found == this->services.end() ? nullptr : found->second;
}

std::vector<config::upstream const*> const&
routing_table::upstreams_of(service_id const& id) const
{
    static std::vector<config::upstream const*> const none;
    auto const found = this->upstreams.find(id);
    return found == this->upstreams.end() ? none : found->second;
}

caller_place routing_table::place_of(std::string const& caller_address) const
{
    // Exact addresses only, until the compiled block table is there.
    for (config::caller_block const& block : this->content->callers)
    {
        if (block.block == caller_address)
        {
            return {block.zone, &block.labels};
        }
    }
    return {};
}

bool routing_table::reaches(caller_place const& caller,
                            config::upstream const& upstream) const
{
    auto const found = this->selectors.find(upstream.service);
    if (found == this->selectors.end())
    {
        return true;
    }
    return std::any_of(found->second.begin(), found->second.end(),
                       [&caller, &upstream](config::selector const* selector)
                       {
                           return matches(selector->callers, caller.labels) &&
                                  matches(selector->upstreams,
                                          &upstream.labels);
                       });
}

region_id routing_table::region_of(zone_id const& zone) const
{
    for (config::place const& place : this->content->places)
    {
        if (place.zone == zone)
        {
            return place.region;
        }
    }
    return {};
}

duration routing_table::latency_between(region_id const& one,
                                        region_id const& other) const
{
    for (config::region_link const& link : this->content->links)
    {
        if ((link.from == one && link.to == other) ||
            (link.from == other && link.to == one))
        {
            return link.latency;
        }
    }
    return duration::max();
}

duration routing_table::distance(zone_id const& from, zone_id const& to) const
{
    duration const latency =
        this->latency_between(this->region_of(from), this->region_of(to));
    return from == to || latency == duration::max() ? duration::zero()
                                                    : latency;
}

std::vector<config::entry_host const*>
routing_table::entry_hosts_for(zone_id const& zone) const
{
    struct ranked
    {
        int distance = 0;
        duration latency{};
        config::entry_host const* host = nullptr;
    };
    region_id const region = this->region_of(zone);
    std::vector<ranked> order;
    for (config::entry_host const& host : this->content->entry_hosts)
    {
        if (host.leaving || host.weight == 0)
        {
            continue;
        }
        region_id const its_region = this->region_of(host.zone);
        bool const same_region = its_region == region && !region.empty();
        int const distance = host.zone == zone ? 0 : same_region ? 1 : 2;
        duration const latency = distance == 2
                                     ? this->latency_between(region, its_region)
                                     : duration::zero();
        order.push_back({distance, latency, &host});
    }
    std::sort(order.begin(), order.end(),
              [](ranked const& one, ranked const& other)
              {
                  return std::tie(one.distance, one.latency, other.host->weight,
                                  one.host->id) <
                         std::tie(other.distance, other.latency,
                                  one.host->weight, other.host->id);
              });
    std::vector<config::entry_host const*> hosts;
    hosts.reserve(order.size());
    for (ranked const& row : order)
    {
        hosts.push_back(row.host);
    }
    return hosts;
}

} // namespace bilberrylead::entry
