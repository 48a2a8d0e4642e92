#ifndef BILBERRYLEAD_POLICY_PLACEMENT_CANDIDATE_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_CANDIDATE_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// State of one upstream as input to upstream_placement. Maintained by the
/// entry host.
struct placement_candidate
{
    /// Number of this host's own zone.
    static constexpr std::uint32_t own_zone = 0;

    /// Hash of the upstream's id. Rendezvous hashing assigns objects by it, so
    /// that every entry host gets the same assignment.
    std::uint64_t hash = 0;
    /// Requests that the upstream runs concurrently; at least 1.
    std::uint32_t slots = 1;
    /// Requests from this entry host that the upstream has not answered yet.
    std::uint32_t in_flight = 0;
    /// Estimated requests from other entry hosts that the upstream runs or
    /// queues, from its recent load reports.
    double held_by_others = 0;
    /// Expected service time of a request on a free slot; over 0.
    duration service_time = std::chrono::milliseconds(20);
    /// One-way network latency to the upstream.
    duration one_way_latency{};
    /// Added to the expected completion time if the upstream failed recently or
    /// is cold.
    duration penalty{};
    /// Number of the upstream's region. Each object has a first-choice upstream
    /// in every region.
    std::uint32_t region = 0;
    /// Number of the upstream's zone; `own_zone` for that of this host. The
    /// numbers of the other zones hold for this host only.
    std::uint32_t zone = own_zone;
    /// False if no request may be sent to the upstream now.
    bool allowed = true;
    /// True if the upstream would be allowed but for a rest that it asked for.
    bool held_back = false;
    /// True if the upstream recently worked on the request's object, so that
    /// the object is likely in its caches.
    bool likely_cached = false;
    /// True if an earlier attempt of the request was sent to the upstream.
    bool tried = false;
};

} // namespace bilberrylead::policy

#endif
