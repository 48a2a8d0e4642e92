#include "bilberrylead/presence/control_link_plan.hpp"

#include "bilberrylead/presence/control_links.hpp"

#include <algorithm>
#include <utility>

namespace bilberrylead::presence
{

control_link_plan::control_link_plan(host_id name, region_id own_region,
                                     control_link_settings const& chosen)
    : self(std::move(name)), region(std::move(own_region)), settings(chosen)
{
}

void control_link_plan::named(std::uint64_t link,
                              std::vector<link::group_host> const& said)
{
    // What closed links named goes as soon as an open one speaks.
    std::erase_if(this->hosts,
                  [this](auto const& known)
                  {
                      return !this->leader_of.contains(known.first);
                  });
    this->leader_of.try_emplace(link);
    this->hosts[link] = said;
}

void control_link_plan::leader_named(std::uint64_t link, host_id const& leader,
                                     instant now)
{
    bool const was_known = !this->leaders().empty();
    this->leader_of[link] = leader;
    if (was_known || !leader.empty())
    {
        this->leader_lost_at = now;
    }
}

void control_link_plan::closed(std::uint64_t link)
{
    this->leader_of.erase(link);
}

std::set<host_id> control_link_plan::leaders() const
{
    std::set<host_id> named_leaders;
    for (auto const& [link, leader] : this->leader_of)
    {
        if (!leader.empty())
        {
            named_leaders.insert(leader);
        }
    }
    return named_leaders;
}

bool control_link_plan::is_searching(instant now) const
{
    return this->hosts.empty() ||
           (this->leaders().empty() &&
            now - this->leader_lost_at >= this->settings.search_after);
}

std::vector<link::group_host> control_link_plan::known_hosts() const
{
    std::map<host_id, link::group_host> by_id;
    for (auto const& [link, named_hosts] : this->hosts)
    {
        for (link::group_host const& each : named_hosts)
        {
            link::group_host& known = by_id[each.id];
            if (known.region.empty())
            {
                known = each;
            }
        }
    }
    std::vector<link::group_host> all;
    all.reserve(by_id.size());
    for (auto& [id, host] : by_id)
    {
        all.push_back(std::move(host));
    }
    return all;
}

std::set<host_id> control_link_plan::wanted(instant now) const
{
    control_link_settings bounds = this->settings;
    std::vector<link::group_host> const known = this->known_hosts();
    if (this->is_searching(now))
    {
        bounds.most_linked_whole = known.size();
    }
    return choose_control_links(
        known, {this->self, this->region, this->leaders()}, bounds);
}

} // namespace bilberrylead::presence
