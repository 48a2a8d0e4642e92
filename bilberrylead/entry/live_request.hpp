#ifndef BILBERRYLEAD_ENTRY_LIVE_REQUEST_HPP
#define BILBERRYLEAD_ENTRY_LIVE_REQUEST_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/entry/refusal_reason.hpp"
#include "bilberrylead/entry/request_life_cycle.hpp"
#include "bilberrylead/entry/request_number.hpp"
#include "bilberrylead/entry/request_outcome.hpp"
#include "bilberrylead/entry/service_state.hpp"
#include "bilberrylead/entry/split_draw.hpp"
#include "bilberrylead/once/claim_key.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrylead::entry
{

/// A request that has not ended on this host.
struct live_request
{
    request_number number{};
    /// State of the request.
    request_life_cycle life_cycle;
    /// The service, as configured when the request arrived.
    service_id service;
    /// Most upstreams it may be sent to; 0 uses the retry budget's settings.
    std::uint32_t max_attempts = 0;
    /// Regions in which the request may run; empty for all.
    std::vector<region_id> regions;
    /// Configuration revision by which the route was found.
    bilberrylead::revision routed_by = 0;
    /// Draw that selected the service; empty if none was made.
    std::optional<split_draw> split;
    /// Digest that is shared by repeats of the request; 0 if unknown.
    std::uint64_t digest = 0;
    /// Hash of the object that the request names; 0 if none.
    std::uint64_t object = 0;
    /// Time after which the answer is worth less to the caller.
    instant latency_target = instant::max();
    /// Effective rank: the customer's if over 0, else the route's; 0 is the
    /// most urgent.
    std::uint32_t rank = 0;
    /// Factor for the wait that the request tolerates.
    double wait_tolerance = 1;
    /// False if the request is beyond the planned share of its rank or
    /// customer.
    bool within_share = true;
    /// Number of the region in which the request is to run. Selected once, so
    /// that a retry does not count as another request there.
    std::optional<std::uint32_t> region;
    /// Expected wait for a slot at the time of the last attempt.
    duration expected_wait{};
    /// Round-trip time to the upstream of the last attempt.
    duration round_trip{};
    /// Expected run time relative to the usual one, if the object is not known
    /// to the upstream.
    double run_factor = 1;
    /// True if the request may be sent again.
    bool repeatable = false;
    /// True if the request holds or requests a claim.
    bool guarded = false;
    /// True from the grant of the claim until it is reported or released.
    bool holds_claim = false;
    /// True if the complete body is kept.
    bool body_kept = true;
    /// Longest time without progress within the answer.
    duration progress_timeout{};
    /// The caller that sent the request.
    caller_id caller;
    /// Customer that the caller's key identified; empty if none.
    customer_id customer;
    /// True while the request counts toward the customer's limit.
    bool holds_token = false;
    /// Address of the caller.
    std::string caller_address;
    /// Claim key, if guarded.
    once::claim_key claim;
    /// Upstreams that the caller can reach, in the configuration in force.
    reach reachable;
    /// Hash of the caller: queues alternate between flows.
    std::uint32_t flow = 0;
    /// Time of arrival.
    instant arrived_at{};
    /// Time of the last attempt.
    instant sent_at{};
    /// Time at which the caller stops waiting.
    instant deadline{};
    /// Time of the next timer: the end of the attempt, the deadline, or the end
    /// of the wait for the record.
    instant timer{};
    /// Upstreams to which the request was sent; the last one runs it.
    std::vector<upstream_id> tried;
    /// Entry hosts that the request was passed on to, in order. Not empty: the
    /// last one carries it, and no upstream does.
    std::vector<host_id> relayed_to;
    /// True if another entry host passed the request on to this one.
    bool is_relayed = false;
    /// Incarnation of the upstream that runs it.
    discovery::list_position incarnation;
    /// Listing by which the last upstream was selected.
    discovery::list_position placed_by;
    /// Address of the last attempted upstream.
    config::endpoint sent_to;
    /// True if the last attempted upstream is in another zone.
    bool crosses_zones = false;
    /// True once a byte may have reached an upstream that did not then state
    /// that it had not run the request.
    bool may_have_run = false;
    /// True while an earlier sending of the same request, which the caller got
    /// no answer to, may have run. The caller would take "not run" as the
    /// answer to both and repeat the work under another key. A granted claim
    /// clears this flag, as then no run is on record.
    bool earlier_may_have_run = false;
    /// Outcome, as far as it is known.
    request_outcome outcome = request_outcome::answered;
    /// Reason of the outcome, unless the request was answered.
    std::optional<refusal_reason> reason;
    /// HTTP status of the upstream's answer; 0 before it.
    std::uint16_t status = 0;
    /// Time from the last attempt to the head of its answer.
    duration time_to_head{};
    /// True once the caller has its final answer or has disconnected, while
    /// guarded work continues for its record.
    bool caller_done = false;
};

} // namespace bilberrylead::entry

#endif
