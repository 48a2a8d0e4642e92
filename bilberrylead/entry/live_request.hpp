#ifndef BILBERRYLEAD_ENTRY_LIVE_REQUEST_HPP
#define BILBERRYLEAD_ENTRY_LIVE_REQUEST_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/service.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
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

/// A request that has not come to its end here.
struct live_request
{
    /// Its number.
    request_number number{};
    /// Where it is on its way.
    request_life_cycle life_cycle;
    /// The service, as it was configured when the request came.
    service_id service;
    /// Upstreams it may be sent to; 0 goes by the retry budget's settings.
    std::uint32_t max_attempts = 0;
    /// Regions it may be served in; empty is everywhere.
    std::vector<region_id> regions;
    /// Revision by which its route was found.
    bilberrylead::revision routed_by = 0;
    /// How its service was drawn; nothing if nothing was drawn.
    std::optional<split_draw> split;
    /// Digest of what repeats of it have in common; 0 if unknown.
    std::uint64_t digest = 0;
    /// Hash of the object it is about; 0 if none.
    std::uint64_t object = 0;
    /// When its answer is worth less to its caller.
    instant latency_target = instant::max();
    /// Number of the region it is to run in; chosen once, so that another
    /// try does not count as another request there.
    std::optional<std::uint32_t> region;
    /// Wait for a slot that was expected when it was sent.
    duration expected_wait{};
    /// Time there and back to the upstream it was sent to.
    duration round_trip{};
    /// How many times longer than usual its run was expected to be, since
    /// its object is not known there.
    double run_factor = 1;
    /// May be sent again.
    bool repeatable = false;
    /// Holds a claim, or asks for one.
    bool guarded = false;
    /// True once its claim was granted, until it is reported or released.
    bool holds_claim = false;
    /// Its whole body is kept.
    bool body_kept = true;
    /// Longest silence within its answer.
    duration progress_timeout{};
    /// Who sent it.
    caller_id caller;
    /// From where.
    std::string caller_address;
    /// The piece of work, if guarded.
    once::claim_key claim;
    /// Which upstreams its caller reaches, in the configuration in force.
    reach reachable;
    /// Hash of its caller: requests of one flow take turns.
    std::uint32_t flow = 0;
    /// When it came.
    instant arrived_at{};
    /// When it was last sent.
    instant sent_at{};
    /// When its caller stops waiting.
    instant deadline{};
    /// When it must be looked at again: the end of a try, the deadline, or
    /// the end of the wait for its record.
    instant timer{};
    /// Upstreams it was sent to; the last one holds it while it runs.
    std::vector<upstream_id> tried;
    /// Address of the last one.
    config::endpoint sent_to;
    /// True once a byte may have reached an upstream that did not take it
    /// back.
    bool may_have_run = false;
    /// True while an earlier sending of the same request may have run: the
    /// caller had no answer to it. A caller that heard "not run" would take
    /// that for both, and do the work again under another key. A granted
    /// claim clears it, since the records know of no run then.
    bool earlier_may_have_run = false;
    /// How it ends, as far as that is known.
    request_outcome outcome = request_outcome::answered;
    /// Why, unless it was answered.
    std::optional<refusal_reason> reason;
    /// Status of the upstream's answer; 0 before.
    std::uint16_t status = 0;
    /// Time from the last sending to the answer's head.
    duration time_to_head{};
    /// True once the caller has its final answer or is gone, while guarded
    /// work goes on for its record.
    bool caller_done = false;
};

} // namespace bilberrylead::entry

#endif
