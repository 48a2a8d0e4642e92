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

/// Number of voters that the group should have: with 2n+1 of them, n may be
/// lost together with their disks. The loss of a complete zone or region is
/// covered by spreading the voters, as far as the hosts allow.
std::size_t target_voter_count(std::vector<planned_host> const& hosts,
                               member_planner_settings const& settings);

/// Returns the next membership change, which affects one member, or nothing if
/// the group needs no change. A pure function; called again once the previous
/// change is complete.
///
/// Hosts may fail permanently, lose their disks and be replaced by empty hosts
/// at other addresses, two of them one after the other within seconds. If
/// failed voters stayed in the group, the second loss could leave the group
/// without a quorum, or an order with a single copy. A failed voter is
/// therefore replaced by a host that already holds the log. The new vote is
/// added before the old one is removed, so that the number of copies never
/// decreases.
std::optional<agreement::membership_change_requested>
next_change(std::vector<planned_host> const& hosts,
            member_planner_settings const& settings);

} // namespace bilberrylead::membership

#endif
