#ifndef BILBERRYLEAD_AGREEMENT_REPLICA_HPP
#define BILBERRYLEAD_AGREEMENT_REPLICA_HPP

#include "bilberrylead/agreement/effect.hpp"
#include "bilberrylead/agreement/event.hpp"
#include "bilberrylead/agreement/member_state.hpp"
#include "bilberrylead/agreement/replica_settings.hpp"
#include "bilberrylead/agreement/safeguards.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace bilberrylead::agreement
{

class replica_parts;

/// One replica of the log: a reducer without clock, I/O or randomness of its
/// own. The same seed, events and times give the same effects. Not thread-safe;
/// owned by the program's event loop.
class replica
{
public:
    /// Creates the replica for one incarnation of a data folder. `incarnation`
    /// is stored in the data folder and is greater than any the host had before
    /// (1 for initial members); `seed` spreads the election timeouts and must
    /// differ between hosts.
    replica(host_id const& self, std::uint64_t incarnation,
            replica_settings const& settings, std::uint64_t seed,
            safeguards const& enabled_safeguards = {});
    ~replica();
    replica(replica const&) = delete;
    replica& operator=(replica const&) = delete;
    replica(replica&&) = delete;
    replica& operator=(replica&&) = delete;

    /// Processes one event and returns its effects. `now` must never decrease.
    /// The first event must be `started`.
    std::vector<effect> reduce(event const& event, instant now);

    /// Processes several events in one call, so that their writes share one
    /// sync. The outcome is the same as one by one, with fewer syncs under
    /// load.
    std::vector<effect> reduce(std::span<event const> events, instant now);

    /// The current role.
    agreement::role role() const;

    /// The latest term seen.
    std::uint64_t term() const;

    /// The leader of the current term; empty if unknown.
    host_id const& leader() const;

    /// Highest index known to be committed.
    std::uint64_t commit_index() const;

    /// Highest index that a quorum knows to be committed, as far as this
    /// replica has heard; 0 unless it leads. These members have applied the
    /// entries up to there, whatever becomes of this replica.
    std::uint64_t quorum_commit_index() const;

    /// Index of the last entry in the log, committed or not.
    std::uint64_t last_index() const;

    /// The membership in force at this replica: the latest one in its log.
    agreement::membership const& membership() const;

    /// State of each member, ordered by host; empty unless this replica leads.
    std::vector<member_state> members(instant now) const;

    /// True while this replica leads and no other can have been elected, so
    /// that its committed state is the newest there is.
    bool holds_lease(instant now) const;

private:
    std::unique_ptr<replica_parts> parts;
};

} // namespace bilberrylead::agreement

#endif
