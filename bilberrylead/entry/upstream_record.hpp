#ifndef BILBERRYLEAD_ENTRY_UPSTREAM_RECORD_HPP
#define BILBERRYLEAD_ENTRY_UPSTREAM_RECORD_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/object_memory.hpp"
#include "bilberrylead/policy/rate_limit.hpp"
#include "bilberrylead/policy/service_time_estimate.hpp"
#include "bilberrylead/policy/shared_limit.hpp"
#include "bilberrylead/policy/upstream_estimate.hpp"
#include "bilberrylead/policy/upstream_health.hpp"

#include <cstdint>

namespace bilberrylead::entry
{

/// What this entry host knows of one upstream besides the configuration.
/// Outlives configurations.
struct upstream_record
{
    /// Makes the record of an upstream with that many slots, not used yet.
    explicit upstream_record(std::uint32_t slots) : health(slots)
    {
    }

    /// Number of its region, by the last configuration that had it.
    std::uint32_t region = 0;
    /// Hash of its id: objects are spread by it.
    std::uint64_t hash = 0;
    /// Requests of this entry host that hold a slot there.
    std::uint32_t in_flight = 0;
    /// Slots that others use, by its last report or refusal.
    std::uint32_t in_use_by_others = 0;
    /// When that was; meaningless while `is_reported` is false.
    instant reported_at{};
    /// True once anything was reported.
    bool is_reported = false;
    /// It gets no new work before this, whatever the configuration says.
    instant leaving_until{};
    /// Its health as its answers show it.
    policy::upstream_health health;
    /// How long requests held its slots of late.
    policy::service_time_estimate slot_time;
    /// What others hold of it and how slow it is, where requests wait at
    /// upstreams.
    policy::upstream_estimate estimate;
    /// Objects that this host had it work on.
    policy::object_memory objects;
    /// What this host may send it while it is cold.
    policy::rate_limit cold_tokens;
    /// What it takes from all entry hosts together.
    policy::shared_limit limit;
    /// Answer by which the limit was told to the other entry hosts last.
    instant sent_limit_seen_at{};
    /// It is cold until then, by what it or its zone's return showed.
    instant cold_until{};
};

} // namespace bilberrylead::entry

#endif
