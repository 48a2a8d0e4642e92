#ifndef BILBERRYLEAD_ENTRY_ENTRY_COUNTERS_HPP
#define BILBERRYLEAD_ENTRY_ENTRY_COUNTERS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/refusal_reason.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace bilberrylead::entry
{

/// How many requests of a service ended how, and how long they took.
struct service_counters
{
    /// Upper bounds of the latency buckets, milliseconds; one more bucket
    /// holds what is above the last.
    static constexpr std::array<std::uint32_t, 12> bounds_ms = {
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 5000, 60000};

    /// Answers of upstreams, passed on.
    std::uint64_t done = 0;
    /// Answers "not run".
    std::uint64_t not_run = 0;
    /// Answers "outcome unknown".
    std::uint64_t unknown = 0;
    /// Answers 400, 404, 409 and 422.
    std::uint64_t problems = 0;
    /// Answers from the record of an earlier run.
    std::uint64_t recorded = 0;
    /// Callers that went away before their answer.
    std::uint64_t callers_gone = 0;
    /// Tries beyond the first.
    std::uint64_t retries = 0;
    /// Requests by time from arrival to final answer's start.
    std::array<std::uint64_t, bounds_ms.size() + 1> latency{};
    /// Sum of those times.
    duration latency_sum{};
};

/// What an entry host counts, for metrics. Only ever grows, but for the
/// two gauges.
struct entry_counters
{
    /// By service; only services of a configuration that was in force.
    std::map<service_id, service_counters> services;
    /// Final answers that were not the upstream's, by reason.
    std::array<std::uint64_t, refusal_reason_count> refusals{};
    /// Limits of upstreams that could not be read.
    std::uint64_t unreadable_limits = 0;
    /// Gauge: requests that hold an upstream's slot now.
    std::size_t slots_in_use = 0;
    /// Gauge: requests that wait for a slot now.
    std::size_t waiting = 0;
};

} // namespace bilberrylead::entry

#endif
