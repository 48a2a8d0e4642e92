#ifndef BILBERRYLEAD_POLICY_PLACEMENT_CANDIDATE_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_CANDIDATE_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// One upstream as a placement sees it. Kept up by the entry host.
struct placement_candidate
{
    /// Hash of the upstream's id: objects are spread by it, the same way on
    /// every entry host.
    std::uint64_t hash = 0;
    /// Requests it runs at a time; at least 1.
    std::uint32_t slots = 1;
    /// Requests of this entry host that it has not answered yet.
    std::uint32_t in_flight = 0;
    /// Requests of others that it runs or holds, by its reports of late.
    double held_by_others = 0;
    /// Time that it takes for a request on a free slot; over 0.
    duration service_time = std::chrono::milliseconds(20);
    /// One-way latency to it.
    duration one_way_latency{};
    /// Handicap: it failed of late, or is cold.
    duration penalty{};
    /// Number of its region: objects have a first upstream in each.
    std::uint32_t region = 0;
    /// False if it may get nothing now.
    bool allowed = true;
    /// True if it worked on the request's object of late.
    bool likely_cached = false;
    /// True if the request was sent to it before.
    bool tried = false;
};

} // namespace bilberrylead::policy

#endif
