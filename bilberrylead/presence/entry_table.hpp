#ifndef BILBERRYLEAD_PRESENCE_ENTRY_TABLE_HPP
#define BILBERRYLEAD_PRESENCE_ENTRY_TABLE_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/messages/entry_presence.hpp"
#include "bilberrylead/presence/entry_table_settings.hpp"
#include "bilberrylead/presence/steering_query.hpp"
#include "bilberrylead/presence/steering_reply.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace bilberrylead
{
class process_seed;
}

namespace bilberrylead::presence
{

/// The entry hosts as one control host hears them, from their heartbeats.
///
/// Failure it answers: a caller that is sent to a dead host loses its
/// request, and every host that keeps naming it makes more callers lose
/// theirs. Each control host goes only by what it hears itself, so that one
/// in a cut-off zone names the entry hosts of that zone and no others.
class entry_table
{
public:
    /// Makes a table without hosts.
    entry_table(entry_table_settings const& settings, process_seed const& seed);

    /// A heartbeat came over a link.
    void record_heartbeat(std::uint64_t link, host_id const& host,
                          link::entry_presence const& heartbeat, instant now);

    /// A link is gone: what it carried is not heard any more.
    void remove_link(std::uint64_t link);

    /// Which hosts a caller should use: those of its region, so that a zone
    /// whose few hosts fail costs its callers no more than a retry; those of
    /// other regions only if its own has none. Of many hosts each answer
    /// names the next few in turn, so that callers spread over all of them;
    /// each control host begins elsewhere.
    steering_reply reply_to(steering_query const& query, instant now);

    /// Hosts that are ready and heard.
    std::size_t ready_hosts(instant now) const;

    /// The most of them that stand in one region.
    std::size_t max_ready_hosts_per_region(instant now) const;

    /// A host as it was last heard.
    struct row
    {
        /// What it said.
        link::entry_presence heartbeat;
        /// The link that carried it.
        std::uint64_t link = 0;
        /// When.
        instant received_at{};
    };

    /// All hosts that have a link, by name.
    std::map<host_id, row> const& hosts() const
    {
        return this->rows;
    }

private:
    bool is_usable(row const& entry, instant now) const;

    entry_table_settings settings;
    std::map<host_id, row> rows;
    /// Where the next answer begins, if it cannot name all hosts.
    std::size_t rotation;
};

} // namespace bilberrylead::presence

#endif
