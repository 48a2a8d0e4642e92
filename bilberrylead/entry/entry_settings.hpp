#ifndef BILBERRYLEAD_ENTRY_ENTRY_SETTINGS_HPP
#define BILBERRYLEAD_ENTRY_ENTRY_SETTINGS_HPP

#include "bilberrylead/config/admission_mode.hpp"
#include "bilberrylead/config/cold_bounds.hpp"
#include "bilberrylead/config/place.hpp"
#include "bilberrylead/config/retry_bounds.hpp"
#include "bilberrylead/config/waiting_place.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/customer_limit_settings.hpp"
#include "bilberrylead/policy/placement_settings.hpp"
#include "bilberrylead/policy/retry_budget_settings.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace bilberrylead::entry
{

/// Settings of an entry host that are not part of the configuration.
struct entry_settings
{
    /// Id of this host in the configuration.
    host_id self;
    /// Availability zone of this host.
    zone_id zone;
    /// Region of the zone; empty if only the configuration names it.
    region_id region;
    /// Zones and their regions, used if the configuration names none.
    std::vector<config::place> places;
    /// One-way latency between regions without a configured link, if `places`
    /// is used.
    duration default_region_latency{};
    /// True if upstreams come from an upstream list: before it is received
    /// there are none, and this host is not ready.
    bool upstreams_are_listed = false;
    /// Where requests wait while all slots are in use.
    config::waiting_place waiting = config::waiting_place::entry_host;
    /// Whose requests are admitted while capacity is insufficient, if requests
    /// wait at upstreams.
    config::admission_mode admission = config::admission_mode::none;
    /// Placement settings, used if requests wait at upstreams.
    policy::placement_settings placement;
    /// Bounds on attempts beyond the first, over all entry hosts.
    config::retry_bounds retries;
    /// Bounds on requests to cold upstreams, over all entry hosts.
    config::cold_bounds cold;
    /// How the limits of customers are kept over all entry hosts.
    policy::customer_limit_settings customer_limits;
    /// Longest time between two ticks, and so the precision of deadlines.
    duration tick = std::chrono::milliseconds(10);
    /// Share of the remaining time, in thousandths, that an attempt of an
    /// idempotent request may take before another upstream is tried; the last
    /// attempt may take all of it.
    std::uint32_t attempt_share = 500;
    /// Settings of the retry budget.
    policy::retry_budget_settings retry;
    /// Retry delay sent to refused callers.
    duration retry_after = std::chrono::seconds(1);
    /// Retry delay sent if a request is refused because upstreams ended while
    /// they ran it: time for an operator to replace them.
    duration crash_retry_after = std::chrono::seconds(30);
    /// How long a collected answer waits for its durable record before it is
    /// sent to the caller anyway. About three quorum round trips between
    /// regions 35 ms apart.
    duration record_timeout = std::chrono::milliseconds(250);
    /// How long an upstream that announced that it is leaving receives no new
    /// requests while the configuration does not mark it yet.
    duration leaving_retention = std::chrono::minutes(10);
    /// Validity of a steering answer. Short, so that a drain completes quickly;
    /// long enough that steering remains a small part of the load.
    duration steering_ttl = std::chrono::seconds(5);
    /// How long a drain accepts requests after the last steering answer that
    /// may name this host has expired.
    duration drain_quiet = std::chrono::seconds(1);
    /// Longest time from the stop request to the end of the process; zero:
    /// until no request is in progress.
    duration stop_time{};
};

} // namespace bilberrylead::entry

#endif
