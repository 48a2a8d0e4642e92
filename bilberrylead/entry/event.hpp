#ifndef BILBERRYLEAD_ENTRY_EVENT_HPP
#define BILBERRYLEAD_ENTRY_EVENT_HPP

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"
#include "bilberrylead/entry/request_number.hpp"
#include "bilberrylead/entry/upstream_load.hpp"
#include "bilberrylead/once/claim_verdict.hpp"
#include "bilberrylead/once/recorded_answer.hpp"
#include "bilberrylead/policy/crash_record.hpp"
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

/// A configuration that a quorum accepted, from a control host or from a
/// neighbour. Anything not newer than what is in force is ignored.
struct configuration_received
{
    /// Its revision, from 1.
    std::uint64_t revision = 0;
    /// Its content, already checked; null if nothing but zones was ordered
    /// yet.
    std::shared_ptr<config::configuration const> content;
    /// Availability zones whose upstreams get no work.
    std::set<zone_id> closed_zones = {};
};

/// The upstreams that there are, from the list of upstreams.
struct upstreams_listed
{
    /// All of them; never null.
    std::shared_ptr<std::vector<discovery::listed_upstream> const> upstreams;
};

/// Share of one service's requests that is to run in one region.
struct planned_share
{
    /// The service.
    service_id service;
    /// Where requests run.
    region_id region;
    /// Share, 0 to 1.
    double share = 0;
};

/// Where requests of this host's callers are to run.
struct regions_planned
{
    /// All shares over 0; a service without any runs at home.
    std::vector<planned_share> shares;
};

/// How many entry hosts are ready, this one among them: what is counted
/// over all of them is shared among so many.
struct entry_hosts_counted
{
    /// Their number; at least 1.
    std::uint64_t hosts = 1;
    /// The most of them that stand in one region; at least 1.
    std::uint64_t max_per_region = 1;
};

/// A caller's request is here: its head, and of its body as much as the
/// service's limits ask for.
struct request_arrived
{
    /// Its number, new.
    request_number request{};
    /// First segment of its path.
    service_id service;
    /// Its Host header without port.
    std::string host;
    /// Its path, without query.
    std::string path;
    /// Hash of the object it is about; 0 if it names none.
    std::uint64_t object = 0;
    /// The caller's account, or its address where it names none.
    caller_id caller;
    /// The address it came from.
    std::string caller_address;
    /// As sent; empty if none was.
    std::string idempotency_key;
    /// Digest of method, target and body; 0 unless the service is guarded.
    std::uint64_t body_digest = 0;
    /// Digest of what a repeat of the same request has in common with it:
    /// host, method, target, account and body; 0 if unknown.
    std::uint64_t digest = 0;
    /// True if the whole body is kept, so that it could be sent again.
    bool body_kept = true;
    /// True if the caller says that it sent the same request before and had
    /// no answer, so that it may have run already.
    bool repeated = false;
    /// Time the caller still gives it; nothing if it named none.
    std::optional<duration> time_left;
};

/// What the control hosts said to a claim.
struct claim_answered
{
    /// The request that asked.
    request_number request{};
    /// The verdict.
    once::claim_verdict verdict;
};

/// A reported completion is durable on a quorum.
struct completion_stored
{
    /// The request whose answer it is.
    request_number request{};
};

/// The head of the upstream's answer is here.
struct upstream_head_received
{
    /// The request it answers.
    request_number request{};
    /// True if it carries the upstream's word that nothing was run.
    bool not_run = false;
    /// True if it says that the upstream is leaving.
    bool leaving = false;
    /// HTTP status.
    std::uint16_t status = 0;
    /// True if another upstream has this address by now.
    bool misdirected = false;
    /// Its load, if it tells that.
    std::optional<upstream_load> load;
    /// Requests a second that it takes from all entry hosts, if it names a
    /// limit.
    std::optional<double> limit;
    /// False if it names a limit that cannot be read.
    bool limit_readable = true;
};

/// The upstream's answer has been read to its end.
struct upstream_answer_finished
{
    /// The request it answers.
    request_number request{};
    /// The answer, if it was collected and not streamed.
    std::optional<once::recorded_answer> collected;
};

/// How far an exchange had come when it failed.
enum class exchange_phase
{
    /// No byte can have reached the upstream.
    not_sent,
    /// Bytes may have reached it; no answer began.
    maybe_sent,
    /// The answer began and did not end.
    answer_started,
};

/// What ended an exchange early.
enum class exchange_fault
{
    /// No connection could be made.
    connect_failed,
    /// The connection was lost.
    connection_lost,
    /// Nothing came for too long.
    no_response,
    /// What came was no valid answer.
    bad_answer,
};

/// An exchange with an upstream failed.
struct upstream_failed
{
    /// The request it carried.
    request_number request{};
    /// How far it had come.
    exchange_phase phase = exchange_phase::maybe_sent;
    /// What ended it.
    exchange_fault fault = exchange_fault::connection_lost;
};

/// The caller closed its connection before its answer was whole.
struct caller_gone
{
    /// The request nobody waits for any more.
    request_number request{};
};

/// An upstream reported how many of its slots are in use.
struct load_reported
{
    /// Which one.
    upstream_id upstream;
    /// Slots in use, work of other entry hosts included.
    std::uint32_t slots_in_use = 0;
    /// True if it says that it is leaving.
    bool leaving = false;
};

/// Time passed. Comes at least every `entry_settings::tick`.
struct tick
{
};

/// The operator or the platform wants this entry host to stop.
struct drain_requested
{
};

/// A control host answers again.
struct control_reachable
{
};

/// No control host answers.
struct control_unreachable
{
};

/// Whether an upstream takes connections.
enum class probe_outcome
{
    /// It took one.
    accepted,
    /// It refused one: nothing listens at its address.
    refused,
    /// Nothing came.
    no_response,
};

/// A connection to an upstream was tried, to see whether it ended.
struct upstream_probed
{
    /// The upstream.
    upstream_id upstream;
    /// What came of it.
    probe_outcome outcome{};
};

/// Another host tells under which requests upstreams ended.
struct crash_records_received
{
    /// The link that it came by.
    std::uint64_t from = 0;
    /// What that host knows.
    std::vector<policy::crash_record> records;
};

/// Another entry host tells what it sent to upstreams that name a limit.
struct limits_received
{
    /// That host.
    host_id sender;
    /// What it tells.
    std::vector<policy::limit_report> reports;
};

/// Everything that can happen to an entry host.
using event = std::variant<
    configuration_received, request_arrived, claim_answered, completion_stored,
    upstream_head_received, upstream_answer_finished, upstream_failed,
    caller_gone, load_reported, tick, drain_requested, control_reachable,
    control_unreachable, upstreams_listed, entry_hosts_counted, regions_planned,
    upstream_probed, crash_records_received, limits_received>;

} // namespace bilberrylead::entry

#endif
