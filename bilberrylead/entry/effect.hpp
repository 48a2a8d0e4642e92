#ifndef BILBERRYLEAD_ENTRY_EFFECT_HPP
#define BILBERRYLEAD_ENTRY_EFFECT_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/entry/admission_report.hpp"
#include "bilberrylead/entry/home_scope_status.hpp"
#include "bilberrylead/entry/limit_use.hpp"
#include "bilberrylead/entry/refusal_reason.hpp"
#include "bilberrylead/entry/request_number.hpp"
#include "bilberrylead/entry/request_outcome.hpp"
#include "bilberrylead/entry/split_draw.hpp"
#include "bilberrylead/once/claim_key.hpp"
#include "bilberrylead/once/recorded_answer.hpp"
#include "bilberrylead/policy/crash_record.hpp"
#include "bilberrylead/policy/crash_verdict.hpp"
#include "bilberrylead/policy/customer_report.hpp"
#include "bilberrylead/policy/limit_report.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bilberrylead::entry
{

/// Sends the request to an upstream. Any earlier exchange of the request has
/// ended.
struct start_upstream
{
    request_number request{};
    /// Service of the upstream.
    service_id service;
    /// Target upstream.
    upstream_id upstream;
    config::endpoint address;
    /// Customer of the request, which is sent to the upstream; empty if its
    /// route is public.
    customer_id customer;
    /// End of the caller's wait; sent to the upstream as the remaining time.
    instant deadline{};
    /// Longest time without progress within the answer.
    duration progress_timeout{};
    /// True for requests that must not be repeated: only a new connection, or
    /// one that was used very recently, may carry them.
    bool run_once = false;
    /// True after a failed attempt: all existing connections may be dead, so
    /// only a new one may carry the request.
    bool new_connection_only = false;
    /// True if the request goes to another entry host, as the caller sent it;
    /// `upstream` and `customer` are empty then.
    bool to_entry_host = false;
    /// For another entry host: regions in which the request may run, empty for
    /// all, and the revision by which its route was found.
    std::vector<region_id> regions;
    bilberrylead::revision routed_by = 0;
    /// Incarnation of the upstream, which the signals of its answer repeat.
    discovery::list_position incarnation = {};
};

/// The way to all upstreams is lost from now on, or there again: reports it to
/// the control hosts.
struct upstream_contact_changed
{
    /// True if no upstream can be reached.
    bool lost = false;
};

/// Streams the upstream's answer to the caller as it arrives.
struct stream_answer
{
    request_number request{};
};

/// Reads the complete answer of the upstream, up to the size limit of records,
/// and reports it by `upstream_answer_finished`.
struct collect_answer
{
    request_number request{};
};

/// Sends the collected answer to the caller.
struct answer_collected
{
    request_number request{};
};

/// Final answer: the request was not run and will not be run.
struct answer_not_run
{
    request_number request{};
    /// Reason of the refusal.
    refusal_reason reason{};
    /// Delay after which the caller should retry.
    duration retry_after{};
};

/// Final answer: the request may have run; its outcome cannot be determined.
struct answer_unknown
{
    request_number request{};
    /// Reason why the outcome is unknown.
    refusal_reason reason{};
    /// Delay after which the caller should retry; zero if a retry yields no
    /// further information.
    duration retry_after{};
};

/// Final answer: the recorded answer of the first run of this work.
struct answer_recorded
{
    request_number request{};
    /// The recorded answer.
    once::recorded_answer answer;
};

/// Final answer: the request itself is refused (400, 404, 409, 422); it was not
/// run.
struct answer_problem
{
    request_number request{};
    /// HTTP status.
    std::uint16_t status = 0;
    /// Reason of the refusal.
    refusal_reason reason{};
    /// Delay after which the caller should retry; zero if a retry is of no use.
    duration retry_after{};
};

/// Requests the claim from the control hosts, which reply by `claim_answered`.
struct request_claim
{
    request_number request{};
    /// Key of the claimed work.
    once::claim_key key;
    /// Digest of method, target and body.
    std::uint64_t body_digest = 0;
};

/// The claimed work has run: stores its answer durably, which is confirmed by
/// `completion_stored`.
struct report_completion
{
    /// The request that ran the work.
    request_number request{};
    /// Key of the claimed work.
    once::claim_key key;
    /// Answer to store.
    once::recorded_answer answer;
};

/// The claimed work was not run: releases the claim.
struct report_release
{
    /// The request that held the claim.
    request_number request{};
    /// Key of the claimed work.
    once::claim_key key;
};

/// The claimed work may have run, but its answer is lost.
struct report_unknown
{
    /// The request that held the claim.
    request_number request{};
    /// Key of the claimed work.
    once::claim_key key;
};

/// Ends the exchange immediately; its connection is not reused.
struct cancel_upstream
{
    request_number request{};
};

/// Closes each caller connection after its next answer from now on.
struct close_connections_after_answer
{
};

/// Reports how a request ended, for the log and for later diagnosis. Has no
/// effect on the request.
struct request_ended
{
    request_number request{};
    /// The service; empty if none was found.
    service_id service;
    /// Configuration revision by which the route was found; 0 if none was
    /// found.
    bilberrylead::revision routed_by = 0;
    /// Draw that selected the service; empty if none was made.
    std::optional<split_draw> split;
    /// How the request ended.
    request_outcome outcome = request_outcome::answered;
    /// Reason of the outcome, unless the request was answered.
    std::optional<refusal_reason> reason;
    /// HTTP status of the upstream's answer; 0 if there is none.
    std::uint16_t status = 0;
    /// Digest that is shared by repeats of the request; 0 if unknown.
    std::uint64_t digest = 0;
    /// The caller that sent the request.
    caller_id caller;
    /// Customer that the caller's key identified; empty if none.
    customer_id customer;
    /// Share of the customer's limit that this host held, in millionths.
    std::uint32_t limit_share = 0;
    /// Time since the report that this share answers; empty if there is none.
    std::optional<duration> limit_age;
    /// Attempted upstreams, in order.
    std::vector<upstream_id> tried;
    /// Entry host that the request was passed on to; empty if none.
    host_id relayed_to;
    /// True if another entry host passed the request on to this one.
    bool is_relayed = false;
    /// Listing by which the last of them was selected.
    discovery::list_position placed_by;
    /// Region that the region plan selected; empty if there was no plan.
    region_id region;
    /// Expected wait for a slot at the selected upstream, or at the best one if
    /// all were too busy.
    duration expected_wait{};
    /// Expected run time relative to the usual run time.
    double run_factor = 1;
    /// Estimated usual run time of the service.
    duration usual_run{};
    /// Values by which the request was admitted or restricted, if it was
    /// refused and admission is by rank or by plan.
    std::optional<admission_report> admission;
    /// Time from arrival at this host to the end.
    duration took{};
    /// Time from the last attempt to the head of its answer; zero if none
    /// arrived.
    duration time_to_head{};
};

/// Tries to connect to an upstream; `upstream_probed` reports the result.
struct probe_upstream
{
    upstream_id upstream;
    config::endpoint address;
};

/// Reports whether an upstream to which connections were lost has ended. For
/// the log.
struct connection_loss_resolved
{
    upstream_id upstream;
    /// True if the upstream has ended, false if it accepts connections.
    bool ended = false;
};

/// Reports that a request goes to an upstream with a rate limit. For the log.
struct limited_request_sent
{
    request_number request{};
    upstream_id upstream;
    limit_use use;
};

/// Reports that an upstream's rate limit has changed. For the log.
struct upstream_limit_changed
{
    upstream_id upstream;
    /// Requests per second from all entry hosts; empty if there is no limit any
    /// more.
    std::optional<double> per_second;
    /// True if the change was received from another host.
    bool from_peer = false;
};

/// Reports that upstreams have started again under their ids, and that this
/// host has discarded what it knew of them. For the log.
struct upstreams_restarted
{
    std::vector<upstream_id> upstreams;
    /// The listing that showed it.
    discovery::list_position listing;
};

/// Reports that the objects of a service have their homes among other upstreams
/// than before. For the log.
struct home_scope_changed
{
    service_id service;
    home_scope_status status;
};

/// Reports that an upstream asked for a rest. For the log.
struct upstream_rest_requested
{
    upstream_id upstream;
    /// The request that was answered so.
    request_number request{};
    /// Requested rest; empty if it could not be parsed.
    std::optional<duration> requested;
    /// Time until this host sends requests again, with the random extension.
    duration remaining{};
};

/// Reports that an upstream receives no new requests, since it announced that
/// it is leaving or its address belongs to another upstream. For the log.
struct upstream_leaving_noticed
{
    upstream_id upstream;
    /// The request whose answer showed it.
    request_number request{};
    /// True if the address belongs to another upstream.
    bool misdirected = false;
};

/// Closes the idle connections to an address.
struct close_idle_connections
{
    config::endpoint address;
};

/// Reports that the crash record of a request has changed. For the log.
struct crash_record_changed
{
    policy::crash_record record;
    /// Restriction that follows from the record.
    policy::crash_verdict verdict{};
    /// True if the change was received from another host.
    bool from_peer = false;
};

/// Sends crash records, of requests during whose runs upstreams ended, to other
/// hosts.
struct send_crash_records
{
    std::vector<policy::crash_record> records;
    /// The only link to send to; empty for all links.
    std::optional<std::uint64_t> only_to = std::nullopt;
};

/// Sends the number of requests that went to rate-limited upstreams to the
/// other entry hosts.
struct send_limits
{
    /// One report for each upstream for which something changed.
    std::vector<policy::limit_report> reports;
};

/// Sends the report about customers with limits to the leader.
struct send_customer_report
{
    policy::customer_report report;
};

/// Stops accepting caller connections and closes those that are idle.
struct stop_accepting_connections
{
};

/// No request is in progress and no caller is directed to this host: the
/// process may end.
struct drained
{
};

/// Any action that the reducer requests.
using effect = std::variant<
    start_upstream, stream_answer, collect_answer, answer_collected,
    answer_not_run, answer_unknown, answer_recorded, answer_problem,
    request_claim, report_completion, report_release, report_unknown,
    cancel_upstream, close_connections_after_answer, stop_accepting_connections,
    request_ended, drained, probe_upstream, connection_loss_resolved,
    limited_request_sent, upstream_limit_changed, upstream_rest_requested,
    upstream_leaving_noticed, close_idle_connections, crash_record_changed,
    send_crash_records, send_limits, send_customer_report,
    upstream_contact_changed, home_scope_changed, upstreams_restarted>;

/// Effects in the order in which they must be performed.
using effects = std::vector<effect>;

} // namespace bilberrylead::entry

#endif
