#include "bilberrylead/entry/routing_table.hpp"

#include "bilberrylead/core/log.hpp"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <optional>
#include <tuple>
#include <utility>

namespace bilberrylead::entry
{

namespace
{

bool matches(config::labels const& required, config::labels const* actual)
{
    if (required.empty())
    {
        return true;
    }
    if (actual == nullptr)
    {
        return false;
    }
    return std::all_of(required.begin(), required.end(),
                       [actual](config::labels::value_type const& pair)
                       {
                           auto const found = actual->find(pair.first);
                           return found != actual->end() &&
                                  found->second == pair.second;
                       });
}

} // namespace

routing_table::routing_table(
    std::shared_ptr<config::configuration const> accepted,
    entry_settings const& settings,
    std::shared_ptr<std::vector<discovery::listed_upstream> const> listed)
    : content(std::move(accepted)), upstream_list(std::move(listed))
{
    assert(this->content != nullptr);
    bool const configuration_has_places = !this->content->places.empty();
    for (config::place const& place :
         configuration_has_places ? this->content->places : settings.places)
    {
        this->zone_regions[place.zone] = place.region;
    }
    if (!configuration_has_places && !settings.places.empty())
    {
        this->default_latency = settings.default_region_latency;
    }
    this->index_routes();
    this->index_listed_upstreams();
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
    this->index_blocks();
}

void routing_table::index_routes()
{
    for (config::request_route const& route : this->content->request_routes)
    {
        this->routes[route.host].push_back(&route);
    }
    for (auto& [host, host_routes] : this->routes)
    {
        std::sort(host_routes.begin(), host_routes.end(),
                  [](config::request_route const* one,
                     config::request_route const* other)
                  {
                      return one->path_prefix.size() >
                             other->path_prefix.size();
                  });
    }
}

void routing_table::index_listed_upstreams()
{
    if (this->upstream_list == nullptr)
    {
        return;
    }
    for (discovery::listed_upstream const& each : *this->upstream_list)
    {
        this->upstreams[each.upstream.service].push_back(&each.upstream);
        this->listed_by_id[each.upstream.id] = &each;
    }
}

config::request_route const*
routing_table::find_route(std::string const& host, std::string_view path) const
{
    auto const host_routes = this->routes.find(host);
    if (host_routes == this->routes.end())
    {
        return nullptr;
    }
    for (config::request_route const* route : host_routes->second)
    {
        if (path.starts_with(route->path_prefix))
        {
            return route;
        }
    }
    return nullptr;
}

discovery::listed_upstream const*
routing_table::find_listed_upstream(upstream_id const& id) const
{
    auto const found = this->listed_by_id.find(id);
    return found == this->listed_by_id.end() ? nullptr : found->second;
}

void routing_table::index_blocks()
{
    std::vector<steering::valued_block> valued;
    valued.reserve(this->content->callers.size());
    for (std::size_t place = 0; place < this->content->callers.size(); ++place)
    {
        absl::StatusOr<steering::address_block> const block =
            steering::address_block::parse(this->content->callers[place].block);
        if (block.ok())
        {
            valued.push_back(
                {*block, static_cast<steering::block_value>(place)});
        }
    }
    absl::StatusOr<steering::block_table> built =
        steering::block_table::build(valued);
    if (built.ok())
    {
        this->blocks = *std::move(built);
        return;
    }
    // The blocks were validated before the configuration was accepted, so
    // another version with different checks accepted them. Callers without a
    // location are still served, by this host.
    part_log("entry").warning("The caller blocks are invalid and ignored: {}",
                              std::string(built.status().message()));
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

caller_location
routing_table::locate_caller(std::string const& caller_address) const
{
    absl::StatusOr<steering::ip_address> const address =
        steering::ip_address::parse(caller_address);
    if (!address.ok())
    {
        return {};
    }
    std::optional<steering::block_match> const found =
        this->blocks.find(*address);
    if (!found.has_value())
    {
        return {};
    }
    config::caller_block const& block = this->content->callers[found->value];
    return {block.zone, &block.labels};
}

bool routing_table::can_reach(caller_location const& caller,
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
    auto const found = this->zone_regions.find(zone);
    return found == this->zone_regions.end() ? region_id() : found->second;
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
    return one == other ? duration::zero() : this->default_latency;
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
        int tier = 0;
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
        region_id const host_region = this->region_of(host.zone);
        bool const same_region = host_region == region && !region.empty();
        int const tier = host.zone == zone ? 0 : same_region ? 1 : 2;
        duration const latency =
            tier == 2 ? this->latency_between(region, host_region)
                      : duration::zero();
        order.push_back({tier, latency, &host});
    }
    std::sort(order.begin(), order.end(),
              [](ranked const& one, ranked const& other)
              {
                  return std::tie(one.tier, one.latency, other.host->weight,
                                  one.host->id) <
                         std::tie(other.tier, other.latency, one.host->weight,
                                  other.host->id);
              });
    std::vector<config::entry_host const*> hosts;
    hosts.reserve(order.size());
    for (ranked const& candidate : order)
    {
        hosts.push_back(candidate.host);
    }
    return hosts;
}

} // namespace bilberrylead::entry
