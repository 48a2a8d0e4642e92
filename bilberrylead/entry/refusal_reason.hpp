#ifndef BILBERRYLEAD_ENTRY_REFUSAL_REASON_HPP
#define BILBERRYLEAD_ENTRY_REFUSAL_REASON_HPP

#include <cstddef>
#include <string_view>

namespace bilberrylead::entry
{

/// Reason why the final answer of a request is not an upstream's answer.
enum class refusal_reason
{
    /// No configuration is in force yet.
    not_ready,
    /// The service is not configured.
    unknown_service,
    /// The service requires an Idempotency-Key and none was sent.
    key_missing,
    /// The key was used before with a different body.
    key_mismatch,
    /// The same work is currently running.
    in_progress,
    /// No upstream may accept this caller's work.
    no_upstream,
    /// All slots are in use and the queue is full.
    no_room,
    /// The caller already uses its share of the queue.
    caller_share,
    /// The deadline has passed, or would pass before the work could end.
    deadline,
    /// The claim could not be made durable.
    claim_refused,
    /// No connection to the upstream could be established.
    connect_failed,
    /// The upstream refused the request.
    upstream_refused,
    /// The connection was lost after a byte may have reached the upstream.
    connection_lost,
    /// The upstream did not respond in time.
    upstream_silent,
    /// The first run of this work ended without a known answer.
    earlier_unknown,
    /// The entry host has no memory left for bodies.
    no_memory,
    /// Upstreams ended while they ran this request, and each repeat may end
    /// another one.
    crashes_upstreams,
    /// The request carried no key of a customer.
    unknown_customer,
    /// The customer has used up its limit.
    over_limit,
    /// No region is allowed by both the route and the customer.
    no_common_region,
    /// Every upstream that could run the request has asked for a rest.
    upstreams_resting,
    /// Another entry host passed the request on by another configuration than
    /// the one in force here.
    other_configuration,
    /// The rest of the body, of which a part had been passed on, was not valid,
    /// too large or too slow.
    body_incomplete,
    /// This host is about to stop, and the request may last longer.
    stopping,
};

/// Number of reasons, for counters.
constexpr std::size_t refusal_reason_count =
    static_cast<std::size_t>(refusal_reason::stopping) + 1;

/// Name of the reason in problem bodies, metrics and logs.
std::string_view to_string(refusal_reason reason);

} // namespace bilberrylead::entry

#endif
