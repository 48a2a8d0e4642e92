#ifndef BILBERRYLEAD_ENTRY_UPSTREAM_RECORD_HPP
#define BILBERRYLEAD_ENTRY_UPSTREAM_RECORD_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/policy/momentary_slowdown.hpp"
#include "bilberrylead/policy/recent_objects.hpp"
#include "bilberrylead/policy/service_time_estimate.hpp"
#include "bilberrylead/policy/shared_limit.hpp"
#include "bilberrylead/policy/token_bucket.hpp"
#include "bilberrylead/policy/upstream_estimate.hpp"
#include "bilberrylead/policy/upstream_health.hpp"
#include "bilberrylead/policy/upstream_rest.hpp"

#include <cstdint>
#include <optional>

namespace bilberrylead::entry
{

/// State that this entry host keeps for an incarnation of an upstream in
/// addition to its configuration. Outlives configurations.
struct upstream_record
{
    /// Creates the record of an unused upstream with that many slots.
    explicit upstream_record(std::uint32_t slots) : health(slots)
    {
    }

    /// The listing in which the incarnation stood first; zero if unknown.
    discovery::list_position incarnation;
    /// True while the configuration contains it, it is not listed as leaving
    /// and its zone is open.
    bool in_service = false;
    /// Number of its region, from the last configuration that contained it.
    std::uint32_t region = 0;
    /// Hash of its id, by which objects are distributed.
    std::uint64_t hash = 0;
    /// Requests of this entry host that hold a slot of this incarnation.
    std::uint32_t in_flight = 0;
    /// Slots used by other hosts, from its last report or refusal.
    std::uint32_t in_use_by_others = 0;
    /// Time of that report; undefined while `is_reported` is false.
    instant reported_at{};
    /// True once the slots in use were reported.
    bool is_reported = false;
    /// The upstream receives no new requests before this time, regardless of
    /// the configuration.
    instant leaving_until{};
    /// Health, derived from its answers.
    policy::upstream_health health;
    /// How long recent requests held its slots.
    policy::service_time_estimate slot_time;
    /// Slots held by others and relative slowness, used if requests wait at
    /// upstreams.
    policy::upstream_estimate estimate;
    /// Speed that the upstream reports for the moment.
    policy::momentary_slowdown momentary;
    /// Objects that the upstream has handled for this host.
    policy::recent_objects objects;
    /// Tokens for requests to the upstream while it is cold.
    policy::token_bucket cold_tokens;
    /// Rest that the upstream asked this host for.
    policy::upstream_rest rest;
    /// Since when no configuration contains the upstream; empty while one does.
    std::optional<instant> absent_since;
    /// Rate limit of the upstream over all entry hosts.
    policy::shared_limit limit;
    /// Time of the answer whose limit was last sent to the other entry hosts.
    instant sent_limit_seen_at{};
    /// The upstream is cold until this time, as listed or because its zone was
    /// reopened.
    instant cold_until{};
};

} // namespace bilberrylead::entry

#endif
