#include "bilberrylead/entry/entry_reducer.hpp"

/// Home upstreams of objects within the zone.
namespace bilberrylead::entry
{

/// Numbers of the zones in the configuration, for placement.
std::map<zone_id, std::uint32_t> entry_reducer::number_zones() const
{
    std::map<zone_id, std::uint32_t> numbers;
    numbers[this->host_settings.zone] = policy::placement_candidate::own_zone;
    for (auto const& [service, state] : this->service_states)
    {
        for (config::upstream const* each :
             this->routing->upstreams_of(service))
        {
            numbers.try_emplace(each->zone,
                                static_cast<std::uint32_t>(numbers.size()));
        }
    }
    return numbers;
}

bool entry_reducer::is_in_own_region(zone_id const& zone) const
{
    return zone == this->host_settings.zone ||
           this->routing->region_of(zone) == this->own_region();
}

void entry_reducer::update_home_scope(service_id const& service,
                                      service_state& state)
{
    if (state.update_home_scope(this->now))
    {
        this->pending_effects.push_back(
            home_scope_changed{service, state.home_scope_state(this->now)});
    }
}

void entry_reducer::count_crossing(live_request const& request)
{
    if (!request.crosses_zones)
    {
        return;
    }
    service_counters& counters =
        this->current_counters.services[request.service];
    config::upstream const* const upstream =
        this->find_upstream(request.tried.back());
    bool const is_near =
        upstream != nullptr && this->is_in_own_region(upstream->zone);
    ++(is_near ? counters.crossed_zones : counters.crossed_regions);
}

void entry_reducer::count_home_scope(service_id const& service,
                                     service_state const& state)
{
    if (this->host_settings.placement.homes == config::object_homes::zone)
    {
        home_scope_status const status = state.home_scope_state(this->now);
        service_counters& counters = this->current_counters.services[service];
        counters.has_zone_homes = status.scope == config::object_homes::zone;
        counters.distinct_objects = status.distinct_objects;
    }
}

} // namespace bilberrylead::entry
