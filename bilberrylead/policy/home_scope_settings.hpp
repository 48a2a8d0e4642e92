#ifndef BILBERRYLEAD_POLICY_HOME_SCOPE_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_HOME_SCOPE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// Settings of home_scope.
struct home_scope_settings
{
    /// Share of the objects that the zone's upstreams cache together, up to
    /// which the scope changes to the zone without confirmation. Hashing
    /// distributes objects unevenly, so caches that are full on average already
    /// evict objects on half of the upstreams.
    double clear_zone_share = 0.8;
    /// Share beyond which the scope changes to the region without confirmation.
    double clear_region_share = 1.0;
    /// Share that decides in between, after `confirmation`. One value for both
    /// directions: with two, hosts with different histories would disagree for
    /// as long as the number of objects is between them.
    double middle_share = 0.9;
    /// Time for which the estimate must stay on one side of the middle share:
    /// after it, all requests of an estimate are new ones.
    duration confirmation = std::chrono::seconds(120);
    /// Minimum time between two changes: several times as long as the burst of
    /// cold runs that follows a change.
    duration min_time_between_changes = std::chrono::seconds(30);
    /// Number of standard errors by which the estimate must be on one side of a
    /// bound to be clear.
    double clear_errors = 3;
    /// Requests and time that a decision needs. With 30 requests, 10 of 400
    /// hosts of a small zone (260 objects, caches for 171) began with homes in
    /// the zone and changed them again; with 60, none.
    std::uint64_t min_requests = 60;
    duration min_observation = std::chrono::seconds(2);
    /// A change to the zone needs as many requests as objects, or that many.
    /// With fewer requests than objects the estimate is too low if some objects
    /// are requested more often than others: with 60 requests, 3 of 1500 hosts
    /// of a zone that caches 171 of 260 objects began with homes in the zone;
    /// with 80 and 100, none.
    double well_founded_requests = 100;
    /// Interval of decisions. Each one visits all counted objects.
    duration interval = std::chrono::milliseconds(500);
};

} // namespace bilberrylead::policy

#endif
