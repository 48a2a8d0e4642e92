#ifndef BILBERRYLEAD_MEMBERSHIP_PLANNED_HOST_HPP
#define BILBERRYLEAD_MEMBERSHIP_PLANNED_HOST_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::membership
{

/// A control host as the leader sees it when it plans the membership.
struct planned_host
{
    /// The host.
    host_id host;
    /// Incarnation of its data folder, from the membership or the link.
    std::uint64_t incarnation = 0;
    /// Its availability zone; empty if it has not reported one.
    zone_id zone;
    /// The zone's region.
    region_id region;
    /// True if it is a member of the group, as a voter or a learner.
    bool member = false;
    /// True if its vote counts.
    bool voter = false;
    /// True if it becomes a voter automatically once it has caught up.
    bool becomes_voter = false;
    /// True if its log is complete enough to vote at once.
    bool caught_up = false;
    /// True if there is a link to it.
    bool linked = false;
    /// Time since its last response as a member; zero for the leader.
    duration time_since_reply{};
    /// True for the leader, which is the host that plans.
    bool leader = false;
};

} // namespace bilberrylead::membership

#endif
