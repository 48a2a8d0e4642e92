#include "bilberrylead/control/region_load_table.hpp"

#include "bilberrylead/link/thousandths.hpp"
#include "bilberrylead/policy/region_plan.hpp"

namespace bilberrylead::control
{

region_load_table::region_load_table(std::vector<config::place> const& places)
{
    for (config::place const& place : places)
    {
        this->region_of[place.zone] = place.region;
        this->indexes.try_emplace(place.region, this->indexes.size());
    }
}

void region_load_table::add_upstream(config::upstream const& upstream)
{
    policy::region_capacity* const capacity =
        this->capacity_of(upstream.service, this->region_of[upstream.zone]);
    if (capacity != nullptr)
    {
        capacity->slots += upstream.slots;
    }
}

void region_load_table::add_entry_host(link::entry_presence const& message)
{
    auto const index = this->indexes.find(message.region);
    if (index == this->indexes.end())
    {
        return;
    }
    for (auto& [service, by_region] : this->capacities)
    {
        by_region[index->second].entry_hosts += 1;
    }
    for (link::service_demand const& demand : message.demands)
    {
        policy::region_capacity* const capacity =
            this->capacity_of(demand.service, message.region);
        if (capacity != nullptr)
        {
            capacity->demand += link::from_thousandths(demand.slots);
        }
    }
}

region_load_table::share_table
region_load_table::shares(policy::region_plan_settings const& settings) const
{
    share_table shares;
    for (auto const& [service, by_region] : this->capacities)
    {
        shares[service] = policy::plan_regions(by_region, settings);
    }
    return shares;
}

std::map<region_id, link::region_plan>
region_load_table::plans(share_table const& shares, std::uint64_t term) const
{
    std::map<region_id, link::region_plan> plans;
    for (auto const& [origin, row] : this->indexes)
    {
        plans[origin].term = term;
    }
    for (auto const& [service, rows] : shares)
    {
        for (auto const& [origin, row] : this->indexes)
        {
            for (auto const& [region, column] : this->indexes)
            {
                std::uint32_t const rounded =
                    link::to_thousandths(rows[row][column]);
                if (rounded > 0)
                {
                    plans[origin].shares.push_back({service, region, rounded});
                }
            }
        }
    }
    return plans;
}

policy::region_capacity*
region_load_table::capacity_of(service_id const& service,
                               region_id const& region)
{
    auto const index = this->indexes.find(region);
    if (index == this->indexes.end())
    {
        return nullptr;
    }
    std::vector<policy::region_capacity>& by_region = this->capacities[service];
    by_region.resize(this->indexes.size());
    return &by_region[index->second];
}

} // namespace bilberrylead::control
