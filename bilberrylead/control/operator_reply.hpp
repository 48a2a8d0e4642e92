#ifndef BILBERRYLEAD_CONTROL_OPERATOR_REPLY_HPP
#define BILBERRYLEAD_CONTROL_OPERATOR_REPLY_HPP

#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/agreement/role.hpp"
#include "bilberrylead/catalog/audit_entry.hpp"
#include "bilberrylead/catalog/change_outcome.hpp"
#include "bilberrylead/catalog/order_outcome.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/policy/crash_record.hpp"
#include "bilberrylead/policy/crash_verdict.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace bilberrylead::control
{

/// An accepted configuration.
struct configuration_reply
{
    /// Its revision, 0 if there is none yet.
    revision number = 0;
    /// Its document as its author wrote it.
    bytes document;
};

/// A part of the audit trail.
struct audit_reply
{
    /// The newest entries, newest first.
    std::vector<catalog::audit_entry> entries;
};

/// What a control host knows of itself and its peers.
struct status_reply
{
    /// This host.
    host_id host;
    /// This life of its data folder.
    std::uint64_t incarnation = 0;
    /// Its role in the group.
    agreement::role role = agreement::role::learner;
    /// Its term.
    std::uint64_t term = 0;
    /// Who leads, as far as known; empty if unknown.
    host_id leader;
    /// Highest committed index.
    std::uint64_t commit_index = 0;
    /// Last index in its log.
    std::uint64_t last_index = 0;
    /// The accepted revision it knows.
    revision accepted = 0;
    /// Who takes part in the group.
    agreement::membership members;
    /// Revision in force at each entry host that subscribes here.
    std::map<host_id, revision> entry_hosts;
    /// Run-at-most-once records held.
    std::size_t claims = 0;
};

/// The request was taken; nothing more to say.
struct done_reply
{
};

/// The configuration with the highest accepted version.
struct orders_reply
{
    /// Its version, 0 if there is none yet.
    std::uint64_t version = 0;
    /// Its document as its author wrote it.
    bytes document;
};

/// A request under which upstreams ended.
struct crash_record_row
{
    /// What is known of it.
    policy::crash_record record;
    /// What follows from it.
    policy::crash_verdict verdict{};
};

/// Requests under which upstreams ended.
struct crash_records_reply
{
    /// All that this host knows.
    std::vector<crash_record_row> rows;
};

/// What a control host answers an operator; a Status says why it could not.
using operator_reply =
    std::variant<catalog::change_outcome, configuration_reply, audit_reply,
                 status_reply, done_reply, catalog::order_outcome, orders_reply,
                 crash_records_reply, absl::Status>;

} // namespace bilberrylead::control

#endif
