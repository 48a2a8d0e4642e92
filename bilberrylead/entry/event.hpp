#ifndef BILBERRYLEAD_ENTRY_EVENT_HPP
#define BILBERRYLEAD_ENTRY_EVENT_HPP

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"
#include "bilberrylead/entry/request_number.hpp"
#include "bilberrylead/entry/upstream_load.hpp"
#include "bilberrylead/once/claim_verdict.hpp"
#include "bilberrylead/once/recorded_answer.hpp"
#include "bilberrylead/policy/admission_plan.hpp"
#include "bilberrylead/policy/crash_record.hpp"
#include "bilberrylead/policy/customer_allocation.hpp"
#include "bilberrylead/policy/limit_report.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bilberrylead::entry
{

/// A configuration that a quorum accepted, received from a control host or a
/// peer. Ignored unless it is newer than the one in force.
struct configuration_received
{
    /// Configuration revision, from 1.
    std::uint64_t revision = 0;
    /// Validated content; null if only zone orders have been accepted so far.
    std::shared_ptr<config::configuration const> content;
    /// Availability zones whose upstreams receive no requests.
    std::set<zone_id> closed_zones = {};
};

/// The current upstreams, from the upstream list.
struct upstreams_listed
{
    /// All upstreams; never null.
    std::shared_ptr<std::vector<discovery::listed_upstream> const> upstreams;
    /// Position of the listing, for the process log.
    discovery::list_position position = {};
};

/// A connection to an upstream was made.
struct upstream_connected
{
    upstream_id upstream;
};

/// Another entry host that reaches upstreams.
struct relay_host
{
    /// Its name.
    host_id id;
    /// Where it accepts callers.
    config::endpoint address;
    /// Its region.
    region_id region;
};

/// Entry hosts to which requests may be passed on while this host has lost its
/// way to all upstreams, the nearest first.
struct relay_hosts_received
{
    std::vector<relay_host> hosts;
};

/// Share of a service's requests that is to run in a region.
struct planned_share
{
    service_id service;
    /// Region in which the requests run.
    region_id region;
    /// Share, from 0 to 1.
    double share = 0;
};

/// Where the requests of this host's callers are to run.
struct regions_planned
{
    /// All shares above 0; a service without any runs in the local region.
    std::vector<planned_share> shares;
    /// Number of entry hosts that the leader knew of; 0 if unknown.
    std::uint64_t entry_hosts = 0;
};

/// Number of ready entry hosts, including this one. Bounds over all entry hosts
/// are divided among them.
struct entry_hosts_counted
{
    /// Number of hosts; at least 1.
    std::uint64_t hosts = 1;
    /// Largest number of them in one region; at least 1.
    std::uint64_t max_per_region = 1;
};

/// A request arrived from a caller: its head, and as much of its body as
/// `body_rules` requires.
struct request_arrived
{
    /// New, unique number of the request.
    request_number request{};
    /// First segment of the path.
    service_id service;
    /// Host header without the port.
    std::string host;
    /// Path without the query.
    std::string path;
    /// Hash of the object that the request names; 0 if it names none.
    std::uint64_t object = 0;
    /// The caller's account, or its address if it names no account.
    caller_id caller;
    /// Address from which the request was sent.
    std::string caller_address;
    /// Key that identifies the customer; empty if none, several or one of
    /// excessive length was sent. Secret.
    std::string customer_key;
    /// Idempotency-Key header; empty if none was sent.
    std::string idempotency_key;
    /// Digest of method, target and body; 0 unless the service is guarded.
    std::uint64_t body_digest = 0;
    /// Digest that repeats of the request share, of host, method, target,
    /// account and body; 0 if unknown.
    std::uint64_t digest = 0;
    /// True if the complete body is kept, so that it can be sent again.
    bool body_kept = true;
    /// True if the caller states that it sent this request before without
    /// receiving an answer, so that it may have run already.
    bool repeated = false;
    /// True if another entry host, which reaches no upstream, passed the
    /// request on: it must not be passed on again.
    bool is_relayed = false;
    /// Regions in which that host allows the request to run; empty for all.
    std::vector<region_id> relayed_regions;
    /// Revision by which that host has found the route; 0 if unknown.
    bilberrylead::revision relayed_revision = 0;
    /// Time for which the caller will still wait; empty if it named none.
    std::optional<duration> time_left;
};

/// Reply of the control hosts to a claim.
struct claim_answered
{
    /// The request that requested the claim.
    request_number request{};
    once::claim_verdict verdict;
};

/// A reported completion is durable on a quorum.
struct completion_stored
{
    /// The request whose answer was stored.
    request_number request{};
};

/// An upstream stated something about itself with an answer. Reported once for
/// every answer, before the answer itself, and whether or not the answered
/// request is still of interest.
struct upstream_signals_received
{
    /// The answered request.
    request_number request{};
    /// Service of the request.
    service_id service;
    /// The upstream to which the request was sent.
    upstream_id upstream;
    /// Its incarnation, as in the order to send the request.
    discovery::list_position incarnation;
    /// Time at which the connection was opened; the latest of all if unknown.
    instant connected_at = instant::max();
    /// True if the address now belongs to another upstream. The other signals
    /// are then empty, since they are not about `upstream`.
    bool misdirected = false;
    /// True if the upstream announces that it is leaving.
    bool leaving = false;
    /// Time for which the upstream wants no requests from this host, if it
    /// refused a request and named one.
    std::optional<duration> rest;
    /// False if the upstream named a rest that cannot be parsed.
    bool rest_readable = true;
    /// Requests per second that the upstream accepts from all entry hosts, if
    /// it sets a limit.
    std::optional<double> limit;
    /// False if the upstream sent a limit that cannot be parsed.
    bool limit_readable = true;
};

/// The head of the upstream's answer was received.
struct upstream_head_received
{
    /// The answered request.
    request_number request{};
    /// True if the upstream states that it has not run the request.
    bool not_run = false;
    /// HTTP status.
    std::uint16_t status = 0;
    /// True if the address now belongs to another upstream.
    bool misdirected = false;
    /// Load of the upstream, if it reports it.
    std::optional<upstream_load> load;
};

/// The upstream's answer was received completely.
struct upstream_answer_finished
{
    /// The answered request.
    request_number request{};
    /// The answer, if it was collected rather than streamed.
    std::optional<once::recorded_answer> collected;
};

/// Progress of an exchange at the time of its failure.
enum class exchange_phase
{
    /// No byte can have reached the upstream.
    not_sent,
    /// Bytes may have reached the upstream; no answer had begun.
    maybe_sent,
    /// The answer had begun and was incomplete.
    answer_started,
};

/// Cause of a failed exchange.
enum class exchange_fault
{
    /// No connection could be established.
    connect_failed,
    /// The connection was lost.
    connection_lost,
    /// Time-out without progress.
    no_response,
    /// The received data was not a valid answer.
    bad_answer,
    /// The upstream no longer accepts requests from this host; the request was
    /// withdrawn before any byte was sent.
    withdrawn,
};

/// An exchange with an upstream failed.
struct upstream_failed
{
    request_number request{};
    /// Progress at the time of the failure.
    exchange_phase phase = exchange_phase::maybe_sent;
    /// Cause of the failure.
    exchange_fault fault = exchange_fault::connection_lost;
};

/// The caller closed its connection before it had received the complete answer.
struct caller_gone
{
    /// The request of that caller.
    request_number request{};
};

/// The rest of a request's body, of which a part has been passed on, cannot be
/// read: it is not valid, too large or too slow. The caller's connection
/// answers the request; nothing more of it is of interest.
struct request_body_failed
{
    /// The request of that caller.
    request_number request{};
};

/// An upstream reported the number of its slots in use.
struct load_reported
{
    /// The reporting upstream.
    upstream_id upstream;
    /// Slots in use, including those used by other entry hosts.
    std::uint32_t slots_in_use = 0;
    /// True if the upstream announces that it is leaving.
    bool leaving = false;
};

/// Time has passed. Arrives at least every `entry_settings::tick`.
struct tick
{
};

/// The operator or the platform requests that this entry host stop.
struct drain_requested
{
};

/// A control host responds again.
struct control_reachable
{
};

/// No control host responds.
struct control_unreachable
{
};

/// Result of a connection attempt to an upstream.
enum class probe_outcome
{
    /// The connection was accepted.
    accepted,
    /// The connection was refused: no process listens at the address.
    refused,
    /// No response.
    no_response,
};

/// A connection attempt tested whether an upstream has ended.
struct upstream_probed
{
    upstream_id upstream;
    probe_outcome outcome{};
};

/// Another host sent its crash records of requests during whose runs upstreams
/// ended.
struct crash_records_received
{
    /// Link on which the records were received.
    std::uint64_t from = 0;
    /// Records of that host.
    std::vector<policy::crash_record> records;
};

/// Another entry host sent its counts of requests to rate-limited upstreams.
struct limits_received
{
    /// The sending host.
    host_id sender;
    std::vector<policy::limit_report> reports;
};

/// This host has lost contact with the other entry hosts, or has it again: it
/// has a link to a control host or to another entry host, and control hosts
/// have not been without a leader for long.
struct peer_contact_changed
{
    /// True if reports reach the other entry hosts.
    bool is_in_contact = true;
};

/// The leader sent this host's shares of the customers' limits.
struct limits_allocated
{
    policy::customer_allocation allocation;
};

/// The leader sent its admission plans. The caller has ignored plans of an
/// older term or number.
struct admission_plan_received
{
    /// Plans by service and region; those of other regions are ignored.
    std::vector<policy::admission_plan> plans;
    /// Time since the leader made the plans.
    duration age{};
    /// The leader that made them.
    host_id source;
};

/// A host became the leader, or this host learnt of it.
struct leader_changed
{
};

/// Any event that an entry host handles.
using event = std::variant<
    configuration_received, request_arrived, claim_answered, completion_stored,
    upstream_signals_received, upstream_head_received, upstream_answer_finished,
    upstream_failed, caller_gone, load_reported, tick, drain_requested,
    control_reachable, control_unreachable, upstreams_listed,
    entry_hosts_counted, regions_planned, upstream_probed, upstream_connected,
    relay_hosts_received, crash_records_received, limits_received,
    peer_contact_changed, limits_allocated, leader_changed,
    admission_plan_received, request_body_failed>;

} // namespace bilberrylead::entry

#endif
