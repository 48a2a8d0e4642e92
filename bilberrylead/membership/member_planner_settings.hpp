#ifndef BILBERRYLEAD_MEMBERSHIP_MEMBER_PLANNER_SETTINGS_HPP
#define BILBERRYLEAD_MEMBERSHIP_MEMBER_PLANNER_SETTINGS_HPP

#include "bilberrylead/config/group_losses.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::membership
{

/// How the group of control hosts keeps its size.
struct member_planner_settings
{
    /// What must be borne at once.
    config::group_losses losses;
    /// A voter that is silent for so long gives its vote to a host that
    /// answers. Two election timeouts: a restart or a slow sync is over by
    /// then, and a successor is in place within the few seconds after which
    /// the next host may be lost.
    duration replace_after = std::chrono::milliseconds(1500);
    /// A member without a vote that is silent for so long leaves the group;
    /// if it comes back it is taken in again.
    duration remove_after = std::chrono::seconds(8);
    /// Voters at most: more make every order slower.
    std::size_t max_voters = 7;
};

} // namespace bilberrylead::membership

#endif
