#ifndef BILBERRYLEAD_ENTRY_ENTRY_COUNTERS_HPP
#define BILBERRYLEAD_ENTRY_ENTRY_COUNTERS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/refusal_reason.hpp"
#include "bilberrylead/entry/split_part.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace bilberrylead::entry
{

/// Outcomes and latencies of a service's requests.
struct service_counters
{
    /// Upper bounds of the latency buckets, in milliseconds; one more bucket
    /// holds all larger values.
    static constexpr std::array<std::uint32_t, 12> bounds_ms = {
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 5000, 60000};

    /// Upstream answers that were sent to callers.
    std::uint64_t done = 0;
    /// Answers "not run".
    std::uint64_t not_run = 0;
    /// Answers "outcome unknown".
    std::uint64_t unknown = 0;
    /// Answers 400, 404, 409 and 422.
    std::uint64_t problems = 0;
    /// Answers from the record of an earlier run.
    std::uint64_t recorded = 0;
    /// Callers that disconnected before their answer.
    std::uint64_t callers_gone = 0;
    /// Attempts beyond the first.
    std::uint64_t retries = 0;
    /// Responses of upstreams in other zones of this host's region.
    std::uint64_t crossed_zones = 0;
    /// Responses of upstreams in other regions.
    std::uint64_t crossed_regions = 0;
    /// Gauge: true while the objects have their homes in this host's zone.
    bool has_zone_homes = false;
    /// Gauge: estimated number of distinct objects requested lately; empty if
    /// homes are always those of the region.
    std::optional<double> distinct_objects;
    /// Requests by time from arrival to the start of the final answer.
    std::array<std::uint64_t, bounds_ms.size() + 1> latency{};
    /// Sum of these times.
    duration latency_sum{};
};

/// Requests of one target of a split route, by outcome.
struct split_part_counters
{
    /// Answered by an upstream of the target.
    std::uint64_t answered = 0;
    /// Refused without a run.
    std::uint64_t not_run = 0;
    /// Ended in any other way.
    std::uint64_t other = 0;
};

/// Requests for a service of one rank, by outcome.
struct rank_counters
{
    /// Requests that arrived.
    std::uint64_t offered = 0;
    /// Answered by an upstream.
    std::uint64_t answered = 0;
    /// Answered after the latency target because the request had to wait.
    std::uint64_t late = 0;
    /// Refused for lack of capacity.
    std::uint64_t refused = 0;
};

/// Counters of an entry host, for metrics. All but the two gauges increase
/// monotonically.
struct entry_counters
{
    /// Counters by service; only services of a configuration that has been in
    /// force.
    std::map<service_id, service_counters> services;
    /// Counters by service and rank, at most `max_counted_ranks` a service; the
    /// last rank that finds no place is counted with the least urgent one.
    /// Empty unless admission is by rank or by plan.
    std::map<service_id, std::map<std::uint32_t, rank_counters>> ranks;
    /// Final answers other than those of upstreams, by reason.
    std::array<std::uint64_t, refusal_reason_count> refusals{};
    /// Requests refused because their customer was over its limit, by customer.
    /// Removed with the customer.
    std::map<customer_id, std::uint64_t> over_limit;
    /// Requests of split routes, by the target that was drawn. Removed with the
    /// split.
    std::map<split_part, split_part_counters> split_parts;
    /// Requests sent to upstreams with a rate limit.
    std::uint64_t limited_requests = 0;
    /// Rate limits in upstream answers that could not be parsed.
    std::uint64_t unreadable_limits = 0;
    /// Rests of upstreams that began or were extended.
    std::uint64_t rests = 0;
    /// Requests for a rest in upstream answers that could not be parsed.
    std::uint64_t unreadable_rests = 0;
    /// Requests that were passed on to other entry hosts.
    std::uint64_t relayed = 0;
    /// Requests that other entry hosts passed on to this one.
    std::uint64_t received_from_relays = 0;
    /// Gauge: true while no upstream can be reached.
    bool upstream_contact_lost = false;
    /// Requests that were not sent over a new connection since their upstream
    /// had been excluded while it was made.
    std::uint64_t withdrawn = 0;
    /// Gauge: upstreams that rest.
    std::size_t resting_upstreams = 0;
    /// Gauge: upstreams that announced that they are leaving.
    std::size_t leaving_upstreams = 0;
    /// Gauge: requests that hold an upstream slot.
    std::size_t slots_in_use = 0;
    /// Gauge: requests that wait for a slot.
    std::size_t waiting = 0;
};

} // namespace bilberrylead::entry

#endif
