#ifndef BILBERRYLEAD_MEMBERSHIP_MEMBER_PLANNER_SETTINGS_HPP
#define BILBERRYLEAD_MEMBERSHIP_MEMBER_PLANNER_SETTINGS_HPP

#include "bilberrylead/config/group_losses.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::membership
{

/// How the size of the group of control hosts is maintained.
struct member_planner_settings
{
    /// Simultaneous losses that the group must survive.
    config::group_losses losses;
    /// A voter that has been unresponsive for this long is replaced by a
    /// responsive host. Two election timeouts: long enough for a restart or a
    /// slow sync to complete, and short enough that the replacement is in
    /// place within the few seconds after which the next host may be lost.
    duration replace_after = std::chrono::milliseconds(1500);
    /// A member without a vote that has been unresponsive for this long is
    /// removed from the group. It is added again if it returns.
    duration remove_after = std::chrono::seconds(8);
    /// Maximum number of voters. More of them make every commit slower.
    std::size_t max_voters = 7;
};

} // namespace bilberrylead::membership

#endif
