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

/// One replica of the log: a reducer without clock, I/O or randomness of
/// its own. The same seed, events and times give the same effects.
/// Not thread-safe; owned by the program's event loop.
class replica
{
public:
    /// Makes the replica of one data folder's life. `incarnation` is stored
    /// in the data folder and greater than any the host had before (1 for
    /// founders); `seed` spreads election timeouts and differs by host.
    replica(host_id const& self, std::uint64_t incarnation,
            replica_settings const& settings, std::uint64_t seed,
            safeguards const& enabled_safeguards = {});
    ~replica();
    replica(replica const&) = delete;
    replica& operator=(replica const&) = delete;
    replica(replica&&) = delete;
    replica& operator=(replica&&) = delete;

    /// Takes one event. `now` never goes back. The first event is started.
    std::vector<effect> reduce(event const& event, instant now);

    /// Takes several events at once: their writes share one sync. Same
    /// outcome as one by one, in fewer syncs under load.
    std::vector<effect> reduce(std::span<event const> events, instant now);

    /// The role now.
    agreement::role role() const;

    /// The latest term seen.
    std::uint64_t term() const;

    /// Who leads as far as known; empty if unknown.
    host_id const& leader() const;

    /// Highest index known to be committed.
    std::uint64_t commit_index() const;

    /// Index of the last entry in the log, committed or not.
    std::uint64_t last_index() const;

    /// The membership in force here: the latest in the log.
    agreement::membership const& membership() const;

    /// How each member does, by host; empty unless this replica leads.
    std::vector<member_state> members(instant now) const;

    /// True while this replica leads and no other can have been elected,
    /// so that what was committed here is the newest there is.
    bool holds_lease(instant now) const;

private:
    std::unique_ptr<replica_parts> parts;
};

} // namespace bilberrylead::agreement

#endif
