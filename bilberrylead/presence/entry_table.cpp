#include "bilberrylead/presence/entry_table.hpp"

#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace bilberrylead::presence
{

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
    region_id const region = asking == this->rows.end()
                                 ? region_id()
                                 : asking->second.heartbeat.region;
    struct candidate
    {
        bool is_remote = false;
        std::uint64_t rank = 0;
        link::relay_host found;
    };
    std::vector<candidate> candidates;
    std::uint64_t const salt = std::hash<host_id>{}(host);
    for (auto const& [id, entry] : this->rows)
    {
        if (id != host && this->is_usable(entry, now) &&
            !this->without_upstreams.contains(id))
        {
            candidates.push_back(
                {entry.heartbeat.region != region,
                 policy::generator(salt ^ std::hash<host_id>{}(id)).next(),
                 {id, entry.heartbeat.address, entry.heartbeat.region}});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](candidate const& one, candidate const& other)
              {
                  return std::tie(one.is_remote, one.rank) <
                         std::tie(other.is_remote, other.rank);
              });
    link::relay_host_list list;
    for (candidate& each : candidates)
    {
        if (list.hosts.size() < this->settings.relay_hosts)
        {
            list.hosts.push_back(std::move(each.found));
        }
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

steering_reply entry_table::reply_to(steering_query const& query, instant now)
{
    steering_reply reply;
    reply.ttl = std::min(this->settings.ttl, this->settings.max_ttl);
    std::vector<config::endpoint> remote_hosts;
    std::vector<config::endpoint> hosts_without_upstreams;
    for (auto const& [host, entry] : this->rows)
    {
        if (!this->is_usable(entry, now))
        {
            continue;
        }
        bool const is_local =
            query.region.empty() || entry.heartbeat.region == query.region;
        (this->without_upstreams.contains(host) ? hosts_without_upstreams
         : is_local                             ? reply.entry_hosts
                                                : remote_hosts)
            .push_back(entry.heartbeat.address);
    }
    if (reply.entry_hosts.empty())
    {
        reply.entry_hosts = std::move(remote_hosts);
    }
    if (reply.entry_hosts.empty())
    {
        reply.entry_hosts = std::move(hosts_without_upstreams);
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
