#ifndef BILBERRYLEAD_DISTRIBUTION_FIRST_REVISION_HPP
#define BILBERRYLEAD_DISTRIBUTION_FIRST_REVISION_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/distribution/first_revision_choice.hpp"
#include "bilberrylead/link/messages/group_news.hpp"
#include "bilberrylead/link/peer_identity.hpp"

#include <cstddef>
#include <optional>
#include <set>

namespace bilberrylead::distribution
{

/// Decides when a process that has no revision has heard enough peers to put
/// the newest revision that they hold in force.
///
/// A control host that is cut off from the others may hold an older revision
/// than the process had in force before it restarted. Such a host names no
/// leader, and it is not a majority.
class first_revision
{
public:
    /// Waits for at most `wait` after the first answer. `control_hosts` is the
    /// group until a control host reports it; empty if unknown.
    first_revision(duration wait, std::set<host_id> control_hosts);

    /// Records the group as one control host reports it. The union of all
    /// reports counts, since a host that is cut off may report an old one.
    void group_received(link::group_news const& news);

    /// Records whether a control host names a leader.
    void leader_received(host_id const& host, bool is_named);

    /// Records that a peer has stated which revision it holds. An answer of
    /// an entry host starts the wait only. A leader that is named after the
    /// answer does not count: the control host may just have rejoined the
    /// others and not have caught up.
    void answer_received(link::peer_identity const& peer, instant now);

    /// The choice if no further answers are to be awaited, else nothing.
    std::optional<first_revision_choice> choose(instant now) const;

private:
    std::size_t count_answers() const;
    bool is_majority(std::size_t answers) const;

    duration wait;
    /// Group from the settings, then as reported.
    std::set<host_id> group;
    bool group_is_reported = false;
    std::set<host_id> naming_leader;
    std::set<host_id> answered;
    bool leader_backed = false;
    std::optional<instant> first_answer_at;
};

} // namespace bilberrylead::distribution

#endif
