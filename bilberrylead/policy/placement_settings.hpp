#ifndef BILBERRYLEAD_POLICY_PLACEMENT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of upstream_placement.
struct placement_settings
{
    /// A run of an object on an upstream that does not know it, against one
    /// that does: a look-up that took 240 ms took 72 ms once the upstream
    /// had its object.
    double unfamiliar_factor = 4.5;
    /// The same on an object's second upstream of a region. What spills over
    /// from the first goes there, but rarely enough that the object has left
    /// its caches again: a smaller factor filled the caches of both.
    double second_factor = 4.0;
    /// Wait that is always borne, as a share of the service time: below it
    /// slots would stand idle between two arrivals.
    double least_wait_share = 0.5;
    /// Share of the time to the deadline that the expected completion may
    /// use; the rest covers what the estimate misses.
    double deadline_share = 0.9;
    /// Shortest time after which a refused caller is told to come back.
    duration least_retry_after = std::chrono::milliseconds(60);
};

} // namespace bilberrylead::policy

#endif
