#include "bilberrylead/presence/control_link_plan.hpp"

#include "bilberrylead/presence/control_links.hpp"
#include "bilberrylead/presence/report_links.hpp"

#include <algorithm>
#include <utility>

namespace bilberrylead::presence
{

control_link_plan::control_link_plan(host_id name, region_id own_region,
                                     control_link_settings const& link_settings)
    : self(std::move(name)), region(std::move(own_region)),
      settings(link_settings)
{
}

void control_link_plan::group_received(
    std::uint64_t link, std::vector<link::group_host> const& reported_hosts)
{
    // Hosts reported by closed links are dropped once an open link reports.
    std::erase_if(this->hosts_by_link,
                  [this](auto const& entry)
                  {
                      return !this->leader_by_link.contains(entry.first);
                  });
    this->leader_by_link.try_emplace(link);
    this->hosts_by_link[link] = reported_hosts;
}

void control_link_plan::leader_received(std::uint64_t link,
                                        host_id const& leader, instant now)
{
    bool const had_leader = !this->leaders().empty();
    this->leader_by_link[link] = leader;
    if (had_leader || !leader.empty())
    {
        this->leader_lost_at = now;
    }
}

void control_link_plan::link_closed(std::uint64_t link)
{
    this->leader_by_link.erase(link);
}

std::set<host_id> control_link_plan::leaders() const
{
    std::set<host_id> found;
    for (auto const& [link, leader] : this->leader_by_link)
    {
        if (!leader.empty())
        {
            found.insert(leader);
        }
    }
    return found;
}

bool control_link_plan::is_searching(instant now) const
{
    return this->hosts_by_link.empty() ||
           (this->leaders().empty() &&
            now - this->leader_lost_at >= this->settings.search_after);
}

std::vector<link::group_host> control_link_plan::all_hosts() const
{
    std::map<host_id, link::group_host> by_id;
    for (auto const& [link, reported_hosts] : this->hosts_by_link)
    {
        for (link::group_host const& host : reported_hosts)
        {
            link::group_host& merged = by_id[host.id];
            if (merged.region.empty())
            {
                merged = host;
            }
        }
    }
    std::vector<link::group_host> all;
    all.reserve(by_id.size());
    for (auto& [id, entry] : by_id)
    {
        all.push_back(std::move(entry));
    }
    return all;
}

std::set<host_id> control_link_plan::desired_links(instant now) const
{
    control_link_settings bounds = this->settings;
    std::vector<link::group_host> const hosts = this->all_hosts();
    if (this->is_searching(now))
    {
        bounds.max_fully_linked_hosts = hosts.size();
    }
    return choose_control_links(
        hosts, {this->self, this->region, this->leaders()}, bounds);
}

std::set<host_id>
control_link_plan::report_links(std::vector<host_id> const& linked_hosts,
                                zone_id const& zone) const
{
    std::vector<link::group_host> const known = this->all_hosts();
    std::vector<link::group_host> linked;
    linked.reserve(linked_hosts.size());
    for (host_id const& id : linked_hosts)
    {
        auto const found = std::find_if(known.begin(), known.end(),
                                        [&id](link::group_host const& host)
                                        {
                                            return host.id == id;
                                        });
        linked.push_back(found == known.end() ? link::group_host{id, {}, {}}
                                              : *found);
    }
    return choose_report_links(linked, {this->self, zone, this->region});
}

} // namespace bilberrylead::presence
