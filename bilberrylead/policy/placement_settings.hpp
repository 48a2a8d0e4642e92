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
    double uncached_run_factor = 8;
    /// The same on an object's second upstream of a region. What spills over
    /// from the first goes there, but rarely enough that the object has left
    /// its caches again: a small factor filled the caches of both.
    double second_choice_run_factor = 7;
    /// Wait that is always borne, as a share of the service time. Below it
    /// slots would stand idle between two arrivals, and a caller that is late
    /// already would come back later still: a late answer is worth more to it
    /// than a refusal. Longer waits make others late.
    double min_tolerated_wait_share = 1;
    /// Share of the time to the deadline that the expected completion may
    /// use; the rest covers what the estimate misses.
    double usable_deadline_share = 0.9;
    /// When a refused caller is to come back, in times until room is
    /// expected; each draws its own between the two. The expected time counts
    /// those who wait now. Others are refused and come back as well, so that
    /// a caller that is back after that time is refused again; most have one
    /// more try only.
    double min_retry_factor = 1.5;
    double max_retry_factor = 3;
    /// Shortest time after which a refused caller is told to come back.
    duration min_time_until_capacity = std::chrono::milliseconds(60);
};

} // namespace bilberrylead::policy

#endif
