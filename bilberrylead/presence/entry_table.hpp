#ifndef BILBERRYLEAD_PRESENCE_ENTRY_TABLE_HPP
#define BILBERRYLEAD_PRESENCE_ENTRY_TABLE_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/messages/entry_presence.hpp"
#include "bilberrylead/link/messages/relay_host_list.hpp"
#include "bilberrylead/presence/entry_table_settings.hpp"
#include "bilberrylead/presence/steering_query.hpp"
#include "bilberrylead/presence/steering_reply.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace bilberrylead
{
class process_seed;
}

namespace bilberrylead::presence
{

/// The entry hosts that send heartbeats to one control host.
///
/// A caller that is directed to a failed host loses its request, and so do more
/// callers for as long as any control host returns that host. Each control host
/// uses only the heartbeats that it receives itself, so that one in a cut-off
/// zone returns the entry hosts of that zone and no others.
class entry_table
{
public:
    /// Makes an empty table. `seed` determines where replies begin.
    entry_table(entry_table_settings const& settings, process_seed const& seed);

    /// Records a heartbeat received over a link.
    void record_heartbeat(std::uint64_t link, host_id const& host,
                          link::entry_presence const& heartbeat, instant now);

    /// Records whether a host has lost its way to all upstreams.
    void record_contact(host_id const& host, bool is_lost);

    /// Returns hosts to which `host`, which has lost its way to all upstreams,
    /// may pass requests on: ready ones that have not, those of its region
    /// first, and some of each other region, since requests may be bound to
    /// any. Different hosts receive different ones.
    link::relay_host_list relay_hosts_for(host_id const& host,
                                          instant now) const;

    /// Removes the hosts whose last heartbeat arrived over a closed link.
    void remove_link(std::uint64_t link);

    /// Returns the hosts that a caller should use: those of its region, and
    /// not only of its zone, so that the failure of a zone's few hosts costs
    /// its callers no more than a retry. Hosts of other regions are returned
    /// only if its own has none, and hosts that have lost their way to all
    /// upstreams only if there are no others in the allowed regions: they pass
    /// requests on, and requests must not reach other regions. Hosts of regions
    /// that are not allowed are returned last. If there are many hosts,
    /// successive replies rotate through them, so that callers are spread over
    /// all of them. Each control host begins at a different position.
    steering_reply reply_to(steering_query const& query, instant now);

    /// Number of ready hosts whose heartbeat has not timed out.
    std::size_t ready_hosts(instant now) const;

    /// Number of such hosts in the region that has most of them.
    std::size_t max_ready_hosts_per_region(instant now) const;

    /// A host with its last heartbeat.
    struct row
    {
        /// The heartbeat.
        link::entry_presence heartbeat;
        /// Link that the heartbeat arrived on.
        std::uint64_t link = 0;
        /// Time of receipt.
        instant received_at{};
    };

    /// All hosts that have a link, by id.
    std::map<host_id, row> const& hosts() const
    {
        return this->rows;
    }

private:
    bool is_usable(row const& entry, instant now) const;
    std::size_t preference(row const& entry, bool reaches_upstreams,
                           steering_query const& query) const;

    entry_table_settings settings;
    std::map<host_id, row> rows;
    // Hosts that have lost their way to all upstreams.
    std::set<host_id> without_upstreams;
    /// Position at which the next reply begins, modulo the number of hosts,
    /// if it cannot contain all of them.
    std::size_t rotation;
};

} // namespace bilberrylead::presence

#endif
