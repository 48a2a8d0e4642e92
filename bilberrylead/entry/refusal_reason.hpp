#ifndef BILBERRYLEAD_ENTRY_REFUSAL_REASON_HPP
#define BILBERRYLEAD_ENTRY_REFUSAL_REASON_HPP

#include <cstddef>
#include <string_view>

namespace bilberrylead::entry
{

/// Why a request's final answer is not its upstream's.
enum class refusal_reason
{
    /// No configuration is in force yet.
    not_ready,
    /// No service of that name.
    unknown_service,
    /// The service wants an Idempotency-Key and none came.
    key_missing,
    /// The key was used before with another body.
    key_mismatch,
    /// The same piece of work is running now.
    in_progress,
    /// No upstream may take this caller's work.
    no_upstream,
    /// All slots are taken and the waiting line is full.
    no_room,
    /// This caller already has its share of the waiting line.
    caller_share,
    /// The deadline passed, or would pass before the work could end.
    deadline,
    /// The claim could not be made durable.
    claim_refused,
    /// The upstream could not be connected to.
    connect_failed,
    /// The upstream turned the request away.
    upstream_refused,
    /// The connection broke after a byte may have reached the upstream.
    connection_lost,
    /// The upstream kept silent for too long.
    upstream_silent,
    /// The first run of this work ended without a known answer.
    earlier_unknown,
    /// The entry host has no memory left for bodies.
    no_memory,
    /// Upstreams ended while they ran this request, and each repeat may end
    /// another one.
    crashes_upstreams,
};

/// How many reasons there are, for counters.
constexpr std::size_t refusal_reason_count =
    static_cast<std::size_t>(refusal_reason::crashes_upstreams) + 1;

/// The reason's name as problem bodies, metrics and logs show it.
std::string_view to_string(refusal_reason reason);

} // namespace bilberrylead::entry

#endif
