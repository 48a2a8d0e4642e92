#include "bilberrylead/control/control_reducer.hpp"

#include "bilberrylead/control/region_load_table.hpp"

#include <map>
#include <utility>

/// Planning of which share of the requests runs in which region.
namespace bilberrylead::control
{

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
    policy::region_plan_settings region_settings = this->settings.regions;
    region_settings.refuses_before_routing =
        this->settings.admission == config::admission_mode::by_plan;
    region_load_table::share_table const shares =
        load_table.shares(region_settings);
    std::map<region_id, link::region_plan> plans =
        load_table.plans(shares, this->replica.term());
    for (auto& [region, admission] : this->plan_admission(load_table, shares))
    {
        plans[region].admission = std::move(admission);
    }
    auto const plan_of = [this, &plans](region_id const& region)
    {
        auto const plan = plans.find(region);
        link::region_plan content =
            plan != plans.end() ? plan->second
                                : link::region_plan{this->replica.term(), {}};
        content.entry_hosts = this->peak_entry_hosts;
        return content;
    };
    this->hold_plan(plan_of(this->settings.region));
    std::map<region_id, std::vector<link::link_number>> receivers;
    for (auto const& [host, row] : this->entry_hosts.hosts())
    {
        receivers[row.heartbeat.region].push_back(row.link);
    }
    for (auto const& [host, number] : this->control_links)
    {
        receivers[this->group_host_of(host).region].push_back(number);
    }
    for (auto& [region, links] : receivers)
    {
        this->send(std::move(links), plan_of(region));
    }
}

void control_reducer::on_peer(link::link_number from,
                              link::region_plan const& message)
{
    bool const is_newer = !this->current_plan.has_value() ||
                          message.term >= this->current_plan->term;
    if (this->links.at(from).role == link::peer_role::control && is_newer)
    {
        this->hold_plan(message);
    }
}

void control_reducer::hold_plan(link::region_plan const& message)
{
    if (message.admission.has_value())
    {
        this->hold_admission(message.term, *message.admission);
    }
    // The admission plan is held apart, with its age: unlike the shares of
    // regions, it is of no use after a restart of the process.
    this->current_plan = message;
    this->current_plan->admission.reset();
}

} // namespace bilberrylead::control
