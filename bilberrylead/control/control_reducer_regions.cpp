#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/link/thousandths.hpp"
#include "bilberrylead/policy/region_plan.hpp"

#include <map>
#include <string>

/// Which requests run in which region.
namespace bilberrylead::control
{

namespace
{

/// Demand and room of every service, by region.
class region_picture
{
public:
    explicit region_picture(std::vector<config::place> const& places)
    {
        for (config::place const& place : places)
        {
            this->region_of[place.zone] = place.region;
            this->numbers.try_emplace(place.region, this->numbers.size());
        }
    }

    void add_upstream(config::upstream const& upstream)
    {
        policy::region_capacity* const room =
            this->room(upstream.service, this->region_of[upstream.zone]);
        if (room != nullptr)
        {
            room->slots += upstream.slots;
        }
    }

    void add_entry_host(link::entry_presence const& said)
    {
        auto const number = this->numbers.find(said.region);
        if (number == this->numbers.end())
        {
            return;
        }
        for (auto& [service, rooms] : this->services)
        {
            rooms[number->second].entry_hosts += 1;
        }
        for (link::service_demand const& demand : said.demands)
        {
            policy::region_capacity* const room =
                this->room(demand.service, said.region);
            if (room != nullptr)
            {
                room->demand += link::from_thousandths(demand.slots);
            }
        }
    }

    /// The plan of each region.
    std::map<region_id, link::region_plan>
    plans(policy::region_plan_settings const& settings,
          std::uint64_t term) const
    {
        std::map<region_id, link::region_plan> made;
        for (auto const& [home, row] : this->numbers)
        {
            made[home].term = term;
        }
        for (auto const& [service, rooms] : this->services)
        {
            std::vector<std::vector<double>> const shares =
                policy::plan_regions(rooms, settings);
            for (auto const& [home, row] : this->numbers)
            {
                for (auto const& [region, place] : this->numbers)
                {
                    std::uint32_t const rounded =
                        link::to_thousandths(shares[row][place]);
                    if (rounded > 0)
                    {
                        made[home].shares.push_back({service, region, rounded});
                    }
                }
            }
        }
        return made;
    }

private:
    policy::region_capacity* room(service_id const& service,
                                  region_id const& region)
    {
        auto const number = this->numbers.find(region);
        if (number == this->numbers.end())
        {
            return nullptr;
        }
        std::vector<policy::region_capacity>& rooms = this->services[service];
        rooms.resize(this->numbers.size());
        return &rooms[number->second];
    }

    std::map<zone_id, region_id> region_of;
    std::map<region_id, std::size_t> numbers;
    std::map<service_id, std::vector<policy::region_capacity>> services;
};

} // namespace

void control_reducer::plan_regions()
{
    bool const is_due =
        !this->settings.places.empty() &&
        this->replica.role() == agreement::role::leader &&
        this->time - this->leads_since >= this->settings.region_grace &&
        this->time - this->regions_planned_at >= this->settings.region_interval;
    if (!is_due)
    {
        return;
    }
    this->regions_planned_at = this->time;
    region_picture picture(this->settings.places);
    std::set<zone_id> const& closed = this->replicated.orders().closed_zones();
    for (auto const& [id, entry] : this->listing.upstreams())
    {
        if (!entry.upstream.leaving && !closed.contains(entry.upstream.zone))
        {
            picture.add_upstream(entry.upstream);
        }
    }
    for (auto const& [host, row] : this->entry_hosts.hosts())
    {
        picture.add_entry_host(row.said);
    }
    std::map<region_id, link::region_plan> const plans =
        picture.plans(this->settings.regions, this->replica.term());
    auto const plan_of = [this, &plans](region_id const& region)
    {
        auto const plan = plans.find(region);
        return plan != plans.end()
                   ? plan->second
                   : link::region_plan{this->replica.term(), {}};
    };
    this->held_plan = plan_of(this->settings.region);
    for (auto const& [host, row] : this->entry_hosts.hosts())
    {
        this->send(row.link, plan_of(row.said.region));
    }
    for (auto const& [host, number] : this->control_links)
    {
        this->send(number, plan_of(this->placed(host).region));
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::region_plan const& said)
{
    bool const is_newer =
        !this->held_plan.has_value() || said.term >= this->held_plan->term;
    if (this->links.at(from).role == link::peer_role::control && is_newer)
    {
        this->held_plan = said;
    }
}

} // namespace bilberrylead::control
