#include "bilberrylead/presence/entry_table.hpp"

#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/presence/host_rank.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace bilberrylead::presence
{

namespace
{

/// Hosts by their ranks.
using relay_candidates = std::map<std::uint64_t, link::relay_host>;

void append_first(link::relay_host_list& list,
                  relay_candidates const& candidates, std::size_t count)
{
    for (auto const& [rank, candidate] : candidates)
    {
        if (count == 0)
        {
            return;
        }
        list.hosts.push_back(candidate);
        --count;
    }
}

} // namespace

entry_table::entry_table(entry_table_settings const& initial_settings,
                         process_seed const& seed)
    : settings(initial_settings), rotation(seed.of(random_sequence::steering))
{
}

void entry_table::record_heartbeat(std::uint64_t link, host_id const& host,
                                   link::entry_presence const& heartbeat,
                                   instant now)
{
    this->rows.insert_or_assign(host, row{heartbeat, link, now});
}

void entry_table::record_contact(host_id const& host, bool is_lost)
{
    if (is_lost)
    {
        this->without_upstreams.insert(host);
    }
    else
    {
        this->without_upstreams.erase(host);
    }
}

link::relay_host_list entry_table::relay_hosts_for(host_id const& host,
                                                   instant now) const
{
    auto const asking = this->rows.find(host);
    region_id const own_region = asking == this->rows.end()
                                     ? region_id()
                                     : asking->second.heartbeat.region;
    std::map<region_id, relay_candidates> by_region;
    for (auto const& [id, entry] : this->rows)
    {
        if (id != host && this->is_usable(entry, now) &&
            !this->without_upstreams.contains(id))
        {
            region_id const& region = entry.heartbeat.region;
            by_region[region].emplace(
                host_rank(host, id),
                link::relay_host{id, entry.heartbeat.address, region});
        }
    }
    link::relay_host_list list;
    append_first(list, by_region[own_region], this->settings.relay_hosts);
    by_region.erase(own_region);

    // The host passes requests that are bound to no region on to the region
    // that follows its own, which differs between hosts.
    std::map<std::uint64_t, relay_candidates> remote;
    for (auto& [region, candidates] : by_region)
    {
        remote.emplace(host_rank(host, host_id(region.text())),
                       std::move(candidates));
    }
    std::size_t const missing = this->settings.relay_hosts - list.hosts.size();
    std::size_t const regions = std::max<std::size_t>(remote.size(), 1);
    std::size_t const per_region =
        std::max(this->settings.min_relay_hosts_per_region,
                 (missing + regions - 1) / regions);
    for (auto const& [rank, candidates] : remote)
    {
        append_first(list, candidates, per_region);
    }
    return list;
}

void entry_table::remove_link(std::uint64_t link)
{
    for (auto const& [host, entry] : this->rows)
    {
        if (entry.link == link)
        {
            this->without_upstreams.erase(host);
        }
    }
    std::erase_if(this->rows,
                  [link](std::map<host_id, row>::value_type const& entry)
                  {
                      return entry.second.link == link;
                  });
}

bool entry_table::is_usable(row const& entry, instant now) const
{
    return entry.heartbeat.ready && !entry.heartbeat.stopping &&
           now - entry.received_at < this->settings.heartbeat_timeout;
}

/// Order in which a caller should use a host; hosts of a lower number exclude
/// those of all higher ones.
std::size_t entry_table::preference(row const& entry, bool reaches_upstreams,
                                    steering_query const& query) const
{
    region_id const& region = entry.heartbeat.region;
    bool const is_local = query.region.empty() || region == query.region;
    bool const is_allowed = is_local || !query.permitted_regions.has_value() ||
                            query.permitted_regions->contains(region);
    if (!is_allowed)
    {
        return reaches_upstreams ? 3 : 4;
    }
    if (!reaches_upstreams)
    {
        return 2;
    }
    return is_local ? 0 : 1;
}

steering_reply entry_table::reply_to(steering_query const& query, instant now)
{
    steering_reply reply;
    reply.ttl = std::min(this->settings.ttl, this->settings.max_ttl);
    std::map<std::size_t, std::vector<config::endpoint>> by_preference;
    for (auto const& [host, entry] : this->rows)
    {
        if (this->is_usable(entry, now))
        {
            bool const reaches_upstreams =
                !this->without_upstreams.contains(host);
            by_preference[this->preference(entry, reaches_upstreams, query)]
                .push_back(entry.heartbeat.address);
        }
    }
    if (!by_preference.empty())
    {
        reply.entry_hosts = std::move(by_preference.begin()->second);
    }
    std::size_t const count = reply.entry_hosts.size();
    if (count > this->settings.max_hosts_per_reply)
    {
        std::rotate(reply.entry_hosts.begin(),
                    reply.entry_hosts.begin() +
                        static_cast<std::ptrdiff_t>(this->rotation % count),
                    reply.entry_hosts.end());
        reply.entry_hosts.resize(this->settings.max_hosts_per_reply);
        this->rotation += this->settings.max_hosts_per_reply;
    }
    return reply;
}

std::size_t entry_table::ready_hosts(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->rows.begin(), this->rows.end(),
        [this, now](std::map<host_id, row>::value_type const& entry)
        {
            return this->is_usable(entry.second, now);
        }));
}

std::size_t entry_table::max_ready_hosts_per_region(instant now) const
{
    std::map<region_id, std::size_t> counts;
    std::size_t most = 0;
    for (auto const& [host, entry] : this->rows)
    {
        if (this->is_usable(entry, now))
        {
            most = std::max(most, ++counts[entry.heartbeat.region]);
        }
    }
    return most;
}

} // namespace bilberrylead::presence
