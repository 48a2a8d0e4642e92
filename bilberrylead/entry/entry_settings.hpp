#ifndef BILBERRYLEAD_ENTRY_ENTRY_SETTINGS_HPP
#define BILBERRYLEAD_ENTRY_ENTRY_SETTINGS_HPP

#include "bilberrylead/config/cold_bounds.hpp"
#include "bilberrylead/config/place.hpp"
#include "bilberrylead/config/retry_bounds.hpp"
#include "bilberrylead/config/waiting_place.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/placement_settings.hpp"
#include "bilberrylead/policy/retry_budget_settings.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace bilberrylead::entry
{

/// What an entry host decides by, besides the configuration.
struct entry_settings
{
    /// This host's name in the configuration.
    host_id self;
    /// The availability zone it stands in.
    zone_id zone;
    /// The zone's region; empty if only the configuration knows it.
    region_id region;
    /// Zones and regions, where the configuration names none.
    std::vector<config::place> places;
    /// One-way latency between regions that have no link configured, where
    /// `places` are used.
    duration default_region_latency{};
    /// True if upstreams come from a list: without it there are none, and
    /// this host is not ready.
    bool upstreams_are_listed = false;
    /// Where requests wait while all slots are taken.
    config::waiting_place waiting = config::waiting_place::entry_host;
    /// How requests are placed if they wait at upstreams.
    policy::placement_settings placement;
    /// What may be sent beyond first tries, by all entry hosts.
    config::retry_bounds retries;
    /// What a cold upstream may get, from all entry hosts.
    config::cold_bounds cold;
    /// Longest time between two ticks: deadlines are kept to this grain.
    duration tick = std::chrono::milliseconds(10);
    /// Share of the time left, in thousandths, that a try of an idempotent
    /// request gets before another upstream is asked; the last try gets all.
    std::uint32_t attempt_share = 500;
    /// What pays for further tries.
    policy::retry_budget_settings retry;
    /// What a caller that is turned away is told to wait.
    duration retry_after = std::chrono::seconds(1);
    /// What the caller of a request that ended upstreams is told to wait:
    /// until an operator may have replaced them.
    duration crash_retry_after = std::chrono::seconds(30);
    /// How long a collected answer waits for its record to be durable
    /// before the caller gets it all the same. About three quorum round
    /// trips between regions 35 ms apart.
    duration record_timeout = std::chrono::milliseconds(250);
    /// How long an upstream that said it is leaving gets no new work while
    /// the configuration does not say so yet.
    duration leaving_retention = std::chrono::minutes(10);
    /// How long callers may use a steering answer. Short, so that a drain
    /// is over soon; long enough that steering stays a small part of load.
    duration steering_ttl = std::chrono::seconds(5);
    /// How long a drain goes on taking requests after the last steering
    /// answer that may name this host has expired.
    duration drain_quiet = std::chrono::seconds(1);
    /// Longest time from the order to stop until the process has ended;
    /// zero: until nothing is under way.
    duration stop_time{};
};

} // namespace bilberrylead::entry

#endif
