#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/link/thousandths.hpp"
#include "bilberrylead/policy/region_plan.hpp"

#include <map>
#include <string>

/// Planning of which share of the requests runs in which region.
namespace bilberrylead::control
{

namespace
{

/// Demand and capacity of every service in each region.
class region_load_table
{
public:
    explicit region_load_table(std::vector<config::place> const& places)
    {
        for (config::place const& place : places)
        {
            this->region_of[place.zone] = place.region;
            this->region_indexes.try_emplace(place.region,
                                             this->region_indexes.size());
        }
    }

    void add_upstream(config::upstream const& upstream)
    {
        policy::region_capacity* const capacity =
            this->capacity_of(upstream.service, this->region_of[upstream.zone]);
        if (capacity != nullptr)
        {
            capacity->slots += upstream.slots;
        }
    }

    void add_entry_host(link::entry_presence const& message)
    {
        auto const index = this->region_indexes.find(message.region);
        if (index == this->region_indexes.end())
        {
            return;
        }
        for (auto& [service, by_region] : this->services)
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

    /// Plans by the region that the requests come from.
    std::map<region_id, link::region_plan>
    plans(policy::region_plan_settings const& settings,
          std::uint64_t term) const
    {
        std::map<region_id, link::region_plan> plans;
        for (auto const& [origin, row] : this->region_indexes)
        {
            plans[origin].term = term;
        }
        for (auto const& [service, by_region] : this->services)
        {
            std::vector<std::vector<double>> const shares =
                policy::plan_regions(by_region, settings);
            for (auto const& [origin, row] : this->region_indexes)
            {
                for (auto const& [region, column] : this->region_indexes)
                {
                    std::uint32_t const rounded =
                        link::to_thousandths(shares[row][column]);
                    if (rounded > 0)
                    {
                        plans[origin].shares.push_back(
                            {service, region, rounded});
                    }
                }
            }
        }
        return plans;
    }

private:
    policy::region_capacity* capacity_of(service_id const& service,
                                         region_id const& region)
    {
        auto const index = this->region_indexes.find(region);
        if (index == this->region_indexes.end())
        {
            return nullptr;
        }
        std::vector<policy::region_capacity>& by_region =
            this->services[service];
        by_region.resize(this->region_indexes.size());
        return &by_region[index->second];
    }

    std::map<zone_id, region_id> region_of;
    std::map<region_id, std::size_t> region_indexes;
    std::map<service_id, std::vector<policy::region_capacity>> services;
};

} // namespace

void control_reducer::plan_regions()
{
    bool const is_due =
        !this->settings.places.empty() &&
        this->replica.role() == agreement::role::leader &&
        this->time - this->leader_since >= this->settings.region_plan_delay &&
        this->time - this->regions_planned_at >=
            this->settings.region_plan_interval;
    if (!is_due)
    {
        return;
    }
    this->regions_planned_at = this->time;
    region_load_table load_table(this->settings.places);
    std::set<zone_id> const& closed = this->replicated.orders().closed_zones();
    for (auto const& [id, entry] : this->listing.upstreams())
    {
        if (!entry.upstream.leaving && !closed.contains(entry.upstream.zone))
        {
            load_table.add_upstream(entry.upstream);
        }
    }
    for (auto const& [host, row] : this->entry_hosts.hosts())
    {
        load_table.add_entry_host(row.heartbeat);
    }
    std::map<region_id, link::region_plan> const plans =
        load_table.plans(this->settings.regions, this->replica.term());
    auto const plan_of = [this, &plans](region_id const& region)
    {
        auto const plan = plans.find(region);
        link::region_plan content =
            plan != plans.end() ? plan->second
                                : link::region_plan{this->replica.term(), {}};
        content.entry_hosts = this->peak_entry_hosts;
        return content;
    };
    this->current_plan = plan_of(this->settings.region);
    for (auto const& [host, row] : this->entry_hosts.hosts())
    {
        this->send(row.link, plan_of(row.heartbeat.region));
    }
    for (auto const& [host, number] : this->control_links)
    {
        this->send(number, plan_of(this->group_host_of(host).region));
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::region_plan const& message)
{
    bool const is_newer = !this->current_plan.has_value() ||
                          message.term >= this->current_plan->term;
    if (this->links.at(from).role == link::peer_role::control && is_newer)
    {
        this->current_plan = message;
    }
}

} // namespace bilberrylead::control
