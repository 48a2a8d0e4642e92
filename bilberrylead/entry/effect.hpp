#ifndef BILBERRYLEAD_ENTRY_EFFECT_HPP
#define BILBERRYLEAD_ENTRY_EFFECT_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/refusal_reason.hpp"
#include "bilberrylead/entry/request_number.hpp"
#include "bilberrylead/entry/request_outcome.hpp"
#include "bilberrylead/entry/split_draw.hpp"
#include "bilberrylead/once/claim_key.hpp"
#include "bilberrylead/once/recorded_answer.hpp"
#include "bilberrylead/policy/crash_record.hpp"
#include "bilberrylead/policy/crash_verdict.hpp"
#include "bilberrylead/policy/limit_report.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bilberrylead::entry
{

/// Send the request to this upstream. Any earlier exchange of the request
/// has ended.
struct start_upstream
{
    /// The request.
    request_number request{};
    /// Where it goes.
    upstream_id upstream;
    /// The upstream's address.
    config::endpoint address;
    /// When the caller stops waiting; told to the upstream as time left.
    instant deadline{};
    /// Longest silence within the answer.
    duration progress_timeout{};
    /// True for work that may not be repeated: only a connection that was
    /// in use a moment ago, or a new one, may carry it.
    bool run_once = false;
    /// True after a failed try: the old connections may all have gone
    /// silent, so only a new one may carry it.
    bool new_connection_only = false;
};

/// Stream the upstream's answer to the caller as it comes.
struct stream_answer
{
    /// The request.
    request_number request{};
};

/// Read the upstream's answer whole, up to the limit for records, and
/// report it by upstream_answer_finished.
struct collect_answer
{
    /// The request.
    request_number request{};
};

/// Give the caller the answer that was collected.
struct answer_collected
{
    /// The request.
    request_number request{};
};

/// Final answer: it was not run and will not be.
struct answer_not_run
{
    /// The request.
    request_number request{};
    /// Why.
    refusal_reason reason{};
    /// When the caller should come back.
    duration retry_after{};
};

/// Final answer: it may have run, nobody can say.
struct answer_unknown
{
    /// The request.
    request_number request{};
    /// Why.
    refusal_reason reason{};
    /// When to ask again; zero if asking again tells no more.
    duration retry_after{};
};

/// Final answer: what the first run of this work answered.
struct answer_recorded
{
    /// The request.
    request_number request{};
    /// The record.
    once::recorded_answer answer;
};

/// Final answer: the request is refused for what it is (400, 404, 409,
/// 422); it was not run.
struct answer_problem
{
    /// The request.
    request_number request{};
    /// HTTP status.
    std::uint16_t status = 0;
    /// Why.
    refusal_reason reason{};
    /// When to come back; zero if coming back is no use.
    duration retry_after{};
};

/// Ask the control hosts for the claim; claim_answered follows.
struct request_claim
{
    /// The request.
    request_number request{};
    /// The piece of work.
    once::claim_key key;
    /// Digest of method, target and body.
    std::uint64_t body_digest = 0;
};

/// The claimed work ran: make its answer durable; completion_stored follows.
struct report_completion
{
    /// The request that ran it.
    request_number request{};
    /// The piece of work.
    once::claim_key key;
    /// What it answered.
    once::recorded_answer answer;
};

/// The claimed work was not run: free the claim.
struct report_release
{
    /// The request that held it.
    request_number request{};
    /// The piece of work.
    once::claim_key key;
};

/// The claimed work may have run, its answer is lost.
struct report_unknown
{
    /// The request that held it.
    request_number request{};
    /// The piece of work.
    once::claim_key key;
};

/// End the exchange now; its connection is never used again.
struct cancel_upstream
{
    /// The request.
    request_number request{};
};

/// From now on every answer ends its connection.
struct close_connections_after_answer
{
};

/// How a request ended, for the log and for whoever explains it later. No
/// effect on the request.
struct request_ended
{
    /// The request.
    request_number request{};
    /// The service, empty if none was found.
    service_id service;
    /// Revision by which its route was found; 0 if none was.
    bilberrylead::revision routed_by = 0;
    /// How its service was drawn; nothing if nothing was drawn.
    std::optional<split_draw> split;
    /// How.
    request_outcome outcome = request_outcome::answered;
    /// Why, unless it was answered.
    std::optional<refusal_reason> reason;
    /// Status of the upstream's answer, 0 if there is none.
    std::uint16_t status = 0;
    /// Digest of what repeats of it have in common; 0 if unknown.
    std::uint64_t digest = 0;
    /// Who sent it.
    caller_id caller;
    /// The upstreams that were tried, in order.
    std::vector<upstream_id> tried;
    /// Region it was planned for; empty if there was no plan.
    region_id region;
    /// Wait for a slot that was expected there, or at the best upstream of
    /// those that were too busy.
    duration expected_wait{};
    /// How many times longer than usual the run was expected to be.
    double run_factor = 1;
    /// Time a run usually takes in the service, as believed.
    duration usual_run{};
    /// Time from its arrival to its end here.
    duration took{};
    /// Time from its last sending to the answer's head; zero if none came.
    duration time_to_head{};
};

/// See whether an upstream takes connections; upstream_probed follows.
struct probe_upstream
{
    /// The upstream.
    upstream_id upstream;
    /// Its address.
    config::endpoint address;
};

/// Connections to an upstream were lost, and it is known now whether it
/// ended. For the log.
struct connection_loss_resolved
{
    /// The upstream.
    upstream_id upstream;
    /// True if it ended, false if it takes connections.
    bool ended = false;
};

/// An upstream's limit has changed. For the log.
struct upstream_limit_changed
{
    /// The upstream.
    upstream_id upstream;
    /// Requests a second from all entry hosts; nothing: no limit any more.
    std::optional<double> per_second;
    /// True if another host told it.
    bool from_peer = false;
};

/// The record of a request under which upstreams ended has changed. For the
/// log.
struct crash_record_changed
{
    /// The record.
    policy::crash_record record;
    /// What follows from it.
    policy::crash_verdict verdict{};
    /// True if another host told it.
    bool from_peer = false;
};

/// Tell other hosts what is known of requests under which upstreams ended.
struct send_crash_records
{
    /// The records.
    std::vector<policy::crash_record> records;
    /// The only link that they go to; nothing: all links.
    std::optional<std::uint64_t> only_to = std::nullopt;
};

/// Tell the other entry hosts what was sent to upstreams that name a limit.
struct send_limits
{
    /// An entry for each upstream to which something has changed.
    std::vector<policy::limit_report> reports;
};

/// Take no new connections of callers from now on, and close those that
/// are idle.
struct stop_accepting_connections
{
};

/// Nothing is under way any more and no caller is sent here: the process
/// may end.
struct drained
{
};

/// Everything an entry host can be told to do.
using effect = std::variant<
    start_upstream, stream_answer, collect_answer, answer_collected,
    answer_not_run, answer_unknown, answer_recorded, answer_problem,
    request_claim, report_completion, report_release, report_unknown,
    cancel_upstream, close_connections_after_answer, stop_accepting_connections,
    request_ended, drained, probe_upstream, connection_loss_resolved,
    upstream_limit_changed, crash_record_changed, send_crash_records,
    send_limits>;

/// Effects in the order in which they are to be carried out.
using effects = std::vector<effect>;

} // namespace bilberrylead::entry

#endif
