#ifndef BILBERRYLEAD_MEMBERSHIP_PLANNED_HOST_HPP
#define BILBERRYLEAD_MEMBERSHIP_PLANNED_HOST_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::membership
{

/// A control host as the leader sees it when it looks at the membership.
struct planned_host
{
    /// The host.
    host_id host;
    /// The life of its data folder that is linked or listed.
    std::uint64_t incarnation = 0;
    /// Where it stands; empty if it has not said so.
    zone_id zone;
    /// The zone's region.
    region_id region;
    /// True if it takes part in the group.
    bool member = false;
    /// True if its vote counts.
    bool voter = false;
    /// True if it is to become a voter by itself once it caught up.
    bool becomes_voter = false;
    /// True if it could vote at once.
    bool caught_up = false;
    /// True if there is a link to it.
    bool linked = false;
    /// Time since it last answered as a member; zero for the leader.
    duration unresponsive_for{};
    /// True for the leader itself.
    bool leader = false;
};

} // namespace bilberrylead::membership

#endif
