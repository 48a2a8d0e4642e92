#ifndef BILBERRYLEAD_POLICY_PLACEMENT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of upstream_placement.
struct placement_settings
{
    /// What a run costs on an upstream that does not know the object,
    /// against one that does: it takes several times as long and pushes
    /// another object out, whose next run is as long.
    double unfamiliar_factor = 8;
    /// The same on an object's second upstream of a region. What spills over
    /// from the first goes there, but rarely enough that the object has left
    /// its caches again: a small factor filled the caches of both.
    double second_factor = 7;
    /// Wait that is always borne, as a share of the service time. Below it
    /// slots would stand idle between two arrivals, and a caller that is late
    /// already would come back later still: a late answer is worth more to it
    /// than a refusal. Longer waits make others late.
    double least_wait_share = 1;
    /// Share of the time to the deadline that the expected completion may
    /// use; the rest covers what the estimate misses.
    double deadline_share = 0.9;
    /// When a refused caller is to come back, in times until room is
    /// expected; each draws its own between the two. The expected time counts
    /// those who wait now. Others are refused and come back as well, so that
    /// a caller that is back after that time is refused again; most have one
    /// more try only.
    double soonest_return = 1.5;
    double latest_return = 3;
    /// Shortest time after which a refused caller is told to come back.
    duration least_retry_after = std::chrono::milliseconds(60);
};

} // namespace bilberrylead::policy

#endif
