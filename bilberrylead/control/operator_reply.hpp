#ifndef BILBERRYLEAD_CONTROL_OPERATOR_REPLY_HPP
#define BILBERRYLEAD_CONTROL_OPERATOR_REPLY_HPP

#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/agreement/role.hpp"
#include "bilberrylead/catalog/audit_entry.hpp"
#include "bilberrylead/catalog/change_outcome.hpp"
#include "bilberrylead/catalog/order_outcome.hpp"
#include "bilberrylead/control/admission_status.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/crash_record.hpp"
#include "bilberrylead/policy/crash_verdict.hpp"
#include "bilberrylead/policy/customer_limit_status.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace bilberrylead::control
{

/// Reply with an accepted configuration.
struct configuration_reply
{
    /// Its revision; 0 if none has been accepted yet.
    revision number = 0;
    /// Its document as its author wrote it.
    bytes document;
};

/// Reply with the newest part of the audit trail.
struct audit_reply
{
    /// Entries, newest first.
    std::vector<catalog::audit_entry> entries;
};

/// Reply with the state of a control host and its view of its peers.
struct status_reply
{
    /// This host.
    host_id host;
    /// Incarnation of its data folder.
    std::uint64_t incarnation = 0;
    /// Its role in the replication group.
    agreement::role role = agreement::role::learner;
    /// Its current term.
    std::uint64_t term = 0;
    /// The leader as this host last saw it; empty if unknown.
    host_id leader;
    /// Index of the last entry that this host has seen committed.
    std::uint64_t commit_index = 0;
    /// Index of the last entry in its log.
    std::uint64_t last_index = 0;
    /// Newest accepted revision that it has applied.
    revision accepted = 0;
    /// Members of the group.
    agreement::membership members;
    /// Revision in force at each entry host that subscribes to this host.
    std::map<host_id, revision> entry_hosts;
    /// Number of run-at-most-once records held.
    std::size_t claims = 0;
};

/// The request was accepted; the reply has no content.
struct done_reply
{
};

/// Reply with the configuration of the highest accepted version.
struct orders_reply
{
    /// Its version; 0 if none has been accepted yet.
    std::uint64_t version = 0;
    /// Its document as its author wrote it.
    bytes document;
};

/// A request during which upstreams crashed.
struct crash_record_row
{
    /// The upstreams that crashed while running the request.
    policy::crash_record record;
    /// How the request is treated as a result.
    policy::crash_verdict verdict{};
};

/// Reply with the requests during which upstreams crashed.
struct crash_records_reply
{
    /// All records that this host holds.
    std::vector<crash_record_row> rows;
};

/// Reply with the customers that use most of their limits.
struct customers_reply
{
    std::vector<policy::customer_limit_status> rows;
    /// Further customers whose limits are in use.
    std::size_t omitted = 0;
};

/// Reply with what the leader plans for admission.
struct admission_reply
{
    /// True if the control host's setting is admission by plan.
    bool by_plan = false;
    /// Term of the leader.
    std::uint64_t term = 0;
    /// Number of the plan within the term; 0 if there is none yet.
    std::uint64_t number = 0;
    /// Time since the plan was computed.
    duration age{};
    /// Entry hosts that have a link to the leader.
    std::size_t hosts = 0;
    /// Entry hosts whose report counts.
    std::size_t reporting = 0;
    /// The services that are planned.
    std::vector<admission_status> services;
};

/// A control host's reply to an operator. A Status is an error that explains
/// why the request was not carried out.
using operator_reply =
    std::variant<catalog::change_outcome, configuration_reply, audit_reply,
                 status_reply, done_reply, catalog::order_outcome, orders_reply,
                 crash_records_reply, customers_reply, admission_reply,
                 absl::Status>;

} // namespace bilberrylead::control

#endif
