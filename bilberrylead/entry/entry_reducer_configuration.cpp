#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

/// What is in force: configuration, upstreams, shares, plans.
namespace bilberrylead::entry
{

namespace
{

/// What rates are counted in.
constexpr double full_share_real = 1000;
/// Where a service names no bound for cold upstreams.
constexpr double unlimited_rate = 1e9;

} // namespace

void entry_reducer::on(configuration_received const& happened)
{
    // A late message or a neighbour that lags must not bring back what an
    // operator has already changed.
    if (happened.revision <= this->revision)
    {
        return;
    }
    this->revision = happened.revision;
    for (zone_id const& zone : this->closed)
    {
        if (!happened.closed_zones.contains(zone))
        {
            this->note_opened(zone);
        }
    }
    this->closed = happened.closed_zones;
    if (happened.content != nullptr)
    {
        this->content = happened.content;
    }
    this->rebuild();
}

void entry_reducer::on(upstreams_listed const& happened)
{
    this->listed = happened.upstreams;
    this->find_ended();
    this->rebuild();
}

void entry_reducer::on(entry_hosts_counted const& happened)
{
    this->entry_hosts.hosts = std::max<std::uint64_t>(happened.hosts, 1);
    this->entry_hosts.in_a_region =
        std::max<std::uint64_t>(happened.in_a_region, 1);
    this->set_shares();
}

void entry_reducer::on(regions_planned const& happened)
{
    this->plan = happened;
    this->follow_plan();
}

/// Services that the configuration brings later follow the same plan: after a
/// start it often comes first, and without it their first requests would all
/// run at home.
void entry_reducer::follow_plan()
{
    // Numbered first: a plan may come before any upstream of this region is
    // listed, and each target must have a place for it.
    std::uint32_t const home = this->number_of(this->own_region());
    std::map<service_id, std::vector<double>> targets;
    for (planned_share const& each : this->plan.shares)
    {
        std::uint32_t const number = this->number_of(each.region);
        std::vector<double>& target = targets[each.service];
        target.resize(std::max<std::size_t>(target.size(), number + 1));
        target[number] = each.share;
    }
    std::size_t const regions = this->region_numbers.size();
    for (auto& [service, target] : targets)
    {
        // Shares are rounded on their way.
        double sum = 0;
        for (double const share : target)
        {
            sum += share;
        }
        target.resize(regions);
        target[home] += 1 - sum;
        auto const state = this->states.find(service);
        if (state != this->states.end())
        {
            state->second.regions().set_target(this->named_regions(target),
                                               this->now);
        }
    }
}

/// Upstreams whose zone was closed for a while have lost their caches, or
/// were started anew meanwhile; nobody says so.
void entry_reducer::note_opened(zone_id const& zone)
{
    if (this->content == nullptr)
    {
        return;
    }
    for (config::service const& service : this->content->services)
    {
        this->state_of(service.id)
            .note_cold(zone, this->now + service.cold_time);
    }
}

std::map<service_id, double> entry_reducer::demands() const
{
    std::map<service_id, double> slots;
    for (auto const& [service, state] : this->states)
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
        this->content, this->chosen, this->listed);
    for (config::service const& service : this->content->services)
    {
        this->state_of(service.id);
    }
    this->follow_plan();
    this->place_again();
    this->set_shares();
}

void entry_reducer::set_shares()
{
    if (this->content == nullptr || !this->chosen.upstreams_are_listed)
    {
        return;
    }
    double const hosts = static_cast<double>(this->entry_hosts.hosts);
    double const saved =
        policy::shared_bound_utilization * this->chosen.retries.slack / hosts;

    double const senders = static_cast<double>(this->entry_hosts.in_a_region);
    std::uint32_t const home = this->number_of(this->own_region());
    for (config::service const& service : this->content->services)
    {
        double const bound =
            service.cold_rate / full_share_real * this->chosen.cold.factor +
            this->chosen.cold.slack;
        // Each sender may have a saved token to spend in the same second.
        policy::cold_share cold{unlimited_rate};
        if (service.cold_rate > 0)
        {
            cold = policy::cold_share_of(
                bound, senders, std::hash<host_id>{}(this->chosen.self));
            cold.region = home;
        }
        this->state_of(service.id).set_shares(cold, saved);
    }
}

std::vector<policy::region_target>
entry_reducer::named_regions(std::vector<double> const& shares) const
{
    std::vector<policy::region_target> named(shares.size());
    for (auto const& [name, number] : this->region_numbers)
    {
        named[number] = {std::hash<region_id>{}(name), shares[number]};
    }
    return named;
}

std::uint32_t entry_reducer::number_of(region_id const& region)
{
    return this->region_numbers
        .try_emplace(region,
                     static_cast<std::uint32_t>(this->region_numbers.size()))
        .first->second;
}

body_rules entry_reducer::rules_for_body(service_id const& service,
                                         std::string const& host,
                                         std::string_view path) const
{
    if (this->routing == nullptr)
    {
        return {};
    }
    if (this->routing->has_routes())
    {
        bool const known = this->routing->find_route(host, path) != nullptr;
        return {known, this->content->limits.body_bytes, false};
    }
    config::service const* const named = this->find_service(service);
    if (named == nullptr)
    {
        return {};
    }
    return {true, named->largest_request, named->guarded};
}

config::caller_limits const* entry_reducer::limits() const
{
    bool const configured =
        this->routing != nullptr && this->routing->has_routes();
    return configured ? &this->content->limits : nullptr;
}

void entry_reducer::place_again()
{
    std::vector<std::uint64_t> waiting;
    for (auto& [service, state] : this->states)
    {
        std::vector<std::uint64_t> const taken = state.take_waiting(this->now);
        waiting.insert(waiting.end(), taken.begin(), taken.end());
        std::vector<configured_upstream> upstreams;
        for (config::upstream const* each :
             this->routing->upstreams_of(service))
        {
            configured_upstream placed;
            placed.upstream = each;
            placed.distance =
                this->routing->distance(this->chosen.zone, each->zone);
            placed.region =
                this->number_of(this->routing->region_of(each->zone));
            placed.closed = this->closed.contains(each->zone);
            discovery::listed_upstream const* const entry =
                this->routing->find_listed(each->id);
            placed.cold_until =
                entry == nullptr ? instant{} : entry->cold_until;
            upstreams.push_back(placed);
        }
        std::sort(
            upstreams.begin(), upstreams.end(),
            [](configured_upstream const& one, configured_upstream const& other)
            {
                return std::tie(one.region, one.upstream->id) <
                       std::tie(other.region, other.upstream->id);
            });
        state.configure(std::move(upstreams));
    }
    for (auto& [number, request] : this->live)
    {
        this->find_reach(request);
    }
    for (std::uint64_t const ticket : waiting)
    {
        this->place(*this->find(static_cast<request_number>(ticket)));
    }
}

void entry_reducer::find_reach(live_request& request) const
{
    request.reached.clear();
    bool const has_selectors = this->routing->has_selectors(request.service);
    if (!has_selectors && request.regions.empty())
    {
        return;
    }
    caller_place const caller =
        has_selectors ? this->routing->place_of(request.caller_address)
                      : caller_place{};
    auto const state = this->states.find(request.service);
    if (state == this->states.end())
    {
        return;
    }
    for (configured_upstream const& each : state->second.upstreams())
    {
        bool const selected =
            !has_selectors || this->routing->reaches(caller, *each.upstream);
        bool const at_home =
            request.regions.empty() ||
            std::find(request.regions.begin(), request.regions.end(),
                      this->routing->region_of(each.upstream->zone)) !=
                request.regions.end();
        request.reached.push_back(selected && at_home);
    }
}

region_id entry_reducer::own_region() const
{
    if (!this->chosen.region.empty() || this->routing == nullptr)
    {
        return this->chosen.region;
    }
    return this->routing->region_of(this->chosen.zone);
}

} // namespace bilberrylead::entry
