#ifndef BILBERRYLEAD_POLICY_PLACEMENT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_SETTINGS_HPP

#include "bilberrylead/config/object_homes.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// Settings of upstream_placement.
struct placement_settings
{
    /// Assumed run time on an upstream that does not have the object cached,
    /// relative to one that does. The run takes several times as long and
    /// evicts another object, whose next run takes as long.
    double uncached_run_factor = 8;
    /// The same factor for the object's second-choice upstream in a region.
    /// Overflow from the first choice goes there, but so rarely that the object
    /// has been evicted from its caches again in the meantime. A small factor
    /// would fill the caches of both upstreams with the same objects.
    double second_choice_run_factor = 7;
    /// Wait for a slot that is always accepted, as a share of the service time.
    /// With a lower limit, slots would stand idle between two arrivals, and a
    /// caller that has already missed its target latency would be delayed
    /// further by a retry, although a late answer is worth more to it than a
    /// refusal. Longer waits delay other requests.
    double min_tolerated_wait_share = 1;
    /// Share of the time to the deadline that the expected completion time may
    /// use; the remainder covers estimation errors.
    double usable_deadline_share = 0.9;
    /// Range of the retry time of a refused caller, as multiples of the time
    /// until free capacity is expected; a random factor is drawn for each
    /// caller. The expected time counts only the requests that wait now. Other
    /// callers are refused and retry as well, so that a caller that retries
    /// exactly after that time is refused again; most callers have only one
    /// attempt left.
    double min_retry_factor = 1.5;
    double max_retry_factor = 3;
    /// Range of the retry time of a caller that was refused because every
    /// upstream rests, beyond the end of the rest, as a share of the time until
    /// then.
    double max_rest_retry_spread = 0.5;
    /// Lower bound of the time until free capacity, before the retry factor is
    /// applied.
    duration min_time_until_capacity = std::chrono::milliseconds(60);
    /// Largest set of upstreams among which objects have their homes. With
    /// `zone`, home_scope decides for each service.
    config::object_homes homes = config::object_homes::region;
    /// Cost of sending a request to another zone of the region, as time added
    /// to the expected completion while homes are in the zone.
    duration zone_crossing_cost{};
    /// Number of objects that an upstream caches, at least 1.
    std::uint32_t remembered_objects = 12;
};

} // namespace bilberrylead::policy

#endif
