#ifndef BILBERRYLEAD_ENTRY_ROUTING_TABLE_HPP
#define BILBERRYLEAD_ENTRY_ROUTING_TABLE_HPP

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"
#include "bilberrylead/entry/entry_settings.hpp"
#include "bilberrylead/steering/block_table.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberrylead::entry
{

/// Location of a caller, and the labels that selectors match.
struct caller_location
{
    /// Availability zone; empty if no block contains the address.
    zone_id zone;
    /// Labels, owned by the table; null if no block contains the address.
    config::labels const* labels = nullptr;
};

/// Index of a configuration for look-ups by name. Immutable; replaced as a unit
/// when another configuration comes into force.
class routing_table
{
public:
    /// Indexes a configuration; `content` is not null. The places in `settings`
    /// are used if the configuration has none. `listed` holds upstreams in
    /// addition to the configuration's; may be null.
    explicit routing_table(
        std::shared_ptr<config::configuration const> content,
        entry_settings const& settings = {},
        std::shared_ptr<std::vector<discovery::listed_upstream> const> listed =
            nullptr);

    /// True if requests are matched by routes; false if the first path segment
    /// names the service.
    bool has_routes() const
    {
        return !this->content->request_routes.empty();
    }

    /// Route of a request: among the routes of its host, the one with the
    /// longest prefix of the path; null if there is none.
    config::request_route const* find_route(std::string const& host,
                                            std::string_view path) const;

    /// Entry of the upstream list for an upstream; null if it is not from the
    /// list.
    discovery::listed_upstream const*
    find_listed_upstream(upstream_id const& id) const;

    /// Region of a zone; empty if the zone is unknown.
    region_id region_of(zone_id const& zone) const;

    /// Service by name; null if there is none.
    config::service const* find_service(service_id const& id) const;

    /// Upstreams of a service: listed ones, then those of the configuration in
    /// their order.
    std::vector<config::upstream const*> const&
    upstreams_of(service_id const& id) const;

    /// Location of a caller's address.
    caller_location locate_caller(std::string const& caller_address) const;

    /// True if the selectors allow the caller to reach the upstream.
    bool can_reach(caller_location const& caller,
                   config::upstream const& upstream) const;

    /// One-way latency from one availability zone to another; zero within one
    /// and where no link is configured.
    duration distance(zone_id const& from, zone_id const& to) const;

    /// True if the service has selectors, so that the reachable upstreams
    /// depend on the caller.
    bool has_selectors(service_id const& id) const
    {
        return this->selectors.contains(id);
    }

    /// Entry hosts that accept callers, nearest first: those of the zone, of
    /// its region, then the others by latency; within each group by descending
    /// weight.
    std::vector<config::entry_host const*>
    entry_hosts_for(zone_id const& zone) const;

    /// The indexed configuration.
    config::configuration const& configuration() const
    {
        return *this->content;
    }

private:
    void index_routes();
    void index_listed_upstreams();
    void index_blocks();
    duration latency_between(region_id const& one,
                             region_id const& other) const;

    std::shared_ptr<config::configuration const> content;
    std::shared_ptr<std::vector<discovery::listed_upstream> const>
        upstream_list;
    std::unordered_map<zone_id, region_id> zone_regions;
    duration default_latency = duration::max();
    // Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<config::request_route const*>>
        routes;
    std::unordered_map<upstream_id, discovery::listed_upstream const*>
        listed_by_id;
    std::unordered_map<service_id, config::service const*> services;
    std::unordered_map<service_id, std::vector<config::upstream const*>>
        upstreams;
    std::unordered_map<service_id, std::vector<config::selector const*>>
        selectors;
    steering::block_table blocks;
};

} // namespace bilberrylead::entry

#endif
