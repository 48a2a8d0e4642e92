#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

/// Applies configurations, upstream lists, host counts and region plans.
namespace bilberrylead::entry
{

namespace
{

/// Rates are given in thousandths.
constexpr double per_mille_real = 1000;
/// Requests per second to cold upstreams if the service sets no bound.
constexpr double unlimited_rate = 1e9;

} // namespace

void entry_reducer::on(configuration_received const& event)
{
    // A delayed message or a lagging peer must not revert a change that an
    // operator has already made.
    if (event.revision <= this->revision)
    {
        return;
    }
    this->revision = event.revision;
    for (zone_id const& zone : this->closed)
    {
        if (!event.closed_zones.contains(zone))
        {
            this->record_zone_opened(zone);
        }
    }
    this->closed = event.closed_zones;
    if (event.content != nullptr)
    {
        this->content = event.content;
        this->customers = std::make_unique<customer_index const>(event.content);
        this->configure_customer_limits();
        this->forget_ended_splits();
    }
    this->rebuild();
}

/// Removes the counters of targets that are no part of a split route any more.
void entry_reducer::forget_ended_splits()
{
    std::set<split_part> current;
    for (config::request_route const& route : this->content->request_routes)
    {
        for (config::route_target const& target : route.targets)
        {
            current.insert({route.host + route.path_prefix, target.service});
        }
    }
    std::erase_if(this->current_counters.split_parts,
                  [&current](auto const& row)
                  {
                      return !row.first.route.empty() &&
                             !current.contains(row.first);
                  });
}

void entry_reducer::on(upstreams_listed const& event)
{
    this->upstream_list = event.upstreams;
    this->listing_position = event.position;
    this->find_ended_upstreams();
    this->find_restarted_upstreams();
    this->rebuild();
}

void entry_reducer::on(entry_hosts_counted const& event)
{
    this->entry_hosts.hosts = std::max<std::uint64_t>(event.hosts, 1);
    this->entry_hosts.max_per_region =
        std::max<std::uint64_t>(event.max_per_region, 1);
    this->update_host_shares();
    this->update_limit_peers();
}

void entry_reducer::on(regions_planned const& event)
{
    this->region_plan = event;
    this->customer_limits.set_hosts(event.entry_hosts, this->now);
    this->apply_region_plan();
}

/// Applied again after each rebuild: after a start the plan often arrives
/// before the configuration, and without it the first requests of each service
/// would all run in the local region.
void entry_reducer::apply_region_plan()
{
    // The number of the local region is assigned first: a plan may arrive
    // before any upstream of this region is listed, and each target needs an
    // entry for it.
    std::uint32_t const own_region = this->region_number_of(this->own_region());
    std::map<service_id, std::vector<double>> targets;
    for (planned_share const& each : this->region_plan.shares)
    {
        std::uint32_t const number = this->region_number_of(each.region);
        std::vector<double>& target = targets[each.service];
        target.resize(std::max<std::size_t>(target.size(), number + 1));
        target[number] = each.share;
    }
    std::size_t const regions = this->region_numbers.size();
    for (auto& [service, target] : targets)
    {
        // Shares are rounded in transit; the local region takes the remainder.
        double sum = 0;
        for (double const share : target)
        {
            sum += share;
        }
        target.resize(regions);
        target[own_region] += 1 - sum;
        auto const state = this->service_states.find(service);
        if (state != this->service_states.end())
        {
            state->second.region_shares().set_target(
                this->region_targets(target), this->now);
        }
    }
}

/// Upstreams of a zone that was closed may have lost their caches or been
/// restarted meanwhile without reporting it, so they are treated as cold.
void entry_reducer::record_zone_opened(zone_id const& zone)
{
    if (this->content == nullptr)
    {
        return;
    }
    for (config::service const& service : this->content->services)
    {
        this->state_of(service.id)
            .record_cold_zone(zone, this->now + service.cold_time);
    }
}

std::map<service_id, double> entry_reducer::demands() const
{
    std::map<service_id, double> slots;
    if (this->contact.is_lost())
    {
        // The hosts that carry the requests report their demand.
        return slots;
    }
    for (auto const& [service, state] : this->service_states)
    {
        slots[service] = state.demand(this->now);
    }
    return slots;
}

void entry_reducer::rebuild()
{
    if (this->content == nullptr)
    {
        return;
    }
    std::unique_ptr<routing_table const> const old = std::move(this->routing);
    this->routing = std::make_unique<routing_table const>(
        this->content, this->host_settings, this->upstream_list);
    for (config::service const& service : this->content->services)
    {
        this->state_of(service.id);
    }
    this->apply_region_plan();
    this->reconfigure_services();
    this->update_host_shares();
    this->configure_contact();
}

void entry_reducer::update_host_shares()
{
    if (this->content == nullptr || !this->host_settings.upstreams_are_listed)
    {
        return;
    }
    double const hosts = static_cast<double>(this->entry_hosts.hosts);
    double const saved_retries = policy::shared_bound_utilization *
                                 this->host_settings.retries.slack / hosts;

    double const senders =
        static_cast<double>(this->entry_hosts.max_per_region);
    std::uint32_t const own_region = this->region_number_of(this->own_region());
    for (config::service const& service : this->content->services)
    {
        double const bound = service.cold_rate / per_mille_real *
                                 this->host_settings.cold.factor +
                             this->host_settings.cold.slack;
        // Each sender may spend a saved token within the same second.
        policy::cold_share cold{unlimited_rate};
        if (service.cold_rate > 0)
        {
            cold = policy::cold_share_of(
                bound, senders, std::hash<host_id>{}(this->host_settings.self));
            cold.region = own_region;
        }
        this->state_of(service.id).set_host_shares(cold, saved_retries);
    }
}

std::vector<policy::region_target>
entry_reducer::region_targets(std::vector<double> const& shares) const
{
    std::vector<policy::region_target> targets(shares.size());
    for (auto const& [name, number] : this->region_numbers)
    {
        targets[number] = {std::hash<region_id>{}(name), shares[number]};
    }
    return targets;
}

std::uint32_t entry_reducer::region_number_of(region_id const& region)
{
    return this->region_numbers
        .try_emplace(region,
                     static_cast<std::uint32_t>(this->region_numbers.size()))
        .first->second;
}

body_rules entry_reducer::body_rules_for(service_id const& service,
                                         std::string const& host,
                                         std::string_view path,
                                         std::string_view customer_key) const
{
    if (this->routing == nullptr)
    {
        return {};
    }
    if (this->routing->has_routes())
    {
        config::request_route const* const route =
            this->routing->find_route(host, path);
        bool const is_served =
            route != nullptr &&
            !this->customers->lacks_customer(*route, customer_key);
        return {is_served, this->content->limits.body_bytes, false,
                is_served && route->idempotent};
    }
    config::service const* const found = this->find_service(service);
    if (found == nullptr)
    {
        return {};
    }
    return {true, found->largest_request, found->guarded,
            found->idempotent && !found->guarded};
}

config::caller_limits const* entry_reducer::caller_limits() const
{
    bool const uses_routes =
        this->routing != nullptr && this->routing->has_routes();
    return uses_routes ? &this->content->limits : nullptr;
}

void entry_reducer::reconfigure_services()
{
    std::vector<std::uint64_t> waiting;
    std::map<zone_id, std::uint32_t> const zones = this->number_zones();
    for (auto& [service, state] : this->service_states)
    {
        std::vector<std::uint64_t> const removed =
            state.remove_waiting(this->now);
        waiting.insert(waiting.end(), removed.begin(), removed.end());
        std::vector<configured_upstream> upstreams;
        for (config::upstream const* each :
             this->routing->upstreams_of(service))
        {
            configured_upstream configured;
            configured.upstream = each;
            configured.distance =
                this->routing->distance(this->host_settings.zone, each->zone);
            configured.region =
                this->region_number_of(this->routing->region_of(each->zone));
            configured.zone = zones.at(each->zone);
            configured.in_own_region = this->is_in_own_region(each->zone);
            configured.closed = this->closed.contains(each->zone);
            discovery::listed_upstream const* const listed =
                this->routing->find_listed_upstream(each->id);
            if (listed != nullptr)
            {
                configured.cold_until = listed->cold_until;
                configured.incarnation = listed->incarnation;
            }
            upstreams.push_back(configured);
        }
        std::sort(
            upstreams.begin(), upstreams.end(),
            [](configured_upstream const& one, configured_upstream const& other)
            {
                return std::tie(one.region, one.upstream->id) <
                       std::tie(other.region, other.upstream->id);
            });
        state.configure(std::move(upstreams), this->now);
    }
    for (auto& [number, request] : this->live_requests)
    {
        this->update_reach(request);
    }
    this->place_again(waiting);
}

void entry_reducer::update_reach(live_request& request) const
{
    request.reachable.clear();
    bool const has_selectors = this->routing->has_selectors(request.service);
    if (!has_selectors && request.regions.empty())
    {
        return;
    }
    caller_location const caller =
        has_selectors ? this->routing->locate_caller(request.caller_address)
                      : caller_location{};
    auto const state = this->service_states.find(request.service);
    if (state == this->service_states.end())
    {
        return;
    }
    for (configured_upstream const& each : state->second.upstreams())
    {
        bool const selected =
            !has_selectors || this->routing->can_reach(caller, *each.upstream);
        bool const in_allowed_region =
            request.regions.empty() ||
            std::find(request.regions.begin(), request.regions.end(),
                      this->routing->region_of(each.upstream->zone)) !=
                request.regions.end();
        request.reachable.push_back(selected && in_allowed_region);
    }
}

region_id entry_reducer::own_region() const
{
    if (!this->host_settings.region.empty() || this->routing == nullptr)
    {
        return this->host_settings.region;
    }
    return this->routing->region_of(this->host_settings.zone);
}

} // namespace bilberrylead::entry
