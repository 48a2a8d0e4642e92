#ifndef BILBERRYLEAD_MEMBERSHIP_MEMBER_PLANNER_HPP
#define BILBERRYLEAD_MEMBERSHIP_MEMBER_PLANNER_HPP

#include "bilberrylead/agreement/events/membership_change_requested.hpp"
#include "bilberrylead/membership/member_planner_settings.hpp"
#include "bilberrylead/membership/planned_host.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace bilberrylead::membership
{

/// Voters that the group wants: with 2n+1 of them, n may be lost together
/// with their disks. Whole zones and regions are borne by how the voters
/// are spread, as far as the hosts allow.
std::size_t target_voter_count(std::vector<planned_host> const& hosts,
                               member_planner_settings const& settings);

/// The next change of membership, one member at a time, or nothing if the
/// group is as it should be. Pure; asked again once the last change is
/// settled.
///
/// Failure it answers: hosts die for good, lose their disks and are replaced
/// by empty ones at other addresses, two in turn within seconds. If dead
/// voters stayed in the group, the second loss would leave a group without
/// a quorum, or an order in one copy. A dead voter's place is therefore
/// given to a host that holds the log already: first the new vote, then the
/// old one's removal, so that there are never fewer copies than before.
std::optional<agreement::membership_change_requested>
next_change(std::vector<planned_host> const& hosts,
            member_planner_settings const& settings);

} // namespace bilberrylead::membership

#endif
