#ifndef BILBERRYLEAD_CONTROL_OPERATOR_REQUEST_HPP
#define BILBERRYLEAD_CONTROL_OPERATOR_REQUEST_HPP

#include "bilberrylead/agreement/events/membership_change_requested.hpp"
#include "bilberrylead/catalog/change_command.hpp"
#include "bilberrylead/catalog/order_command.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace bilberrylead::control
{

/// Propose a configuration change.
struct submit_change
{
    /// The change; `accepted_at` is set by the control host.
    catalog::change_command change;
};

/// Read the accepted configuration.
struct read_configuration
{
    /// Revision to read; 0 for the newest.
    revision wanted = 0;
    /// True to read this host's state without confirming it with a quorum.
    bool allow_stale = false;
};

/// Read the audit trail, the newest entries first.
struct read_audit
{
    /// Maximum number of entries to return, over 0.
    std::size_t max_entries = 100;
};

/// Read the state of this host and its view of its peers. Needs no quorum.
struct read_status
{
};

/// Change the membership of the group.
struct change_membership
{
    /// The action and the host that it applies to; the reducer sets its token.
    agreement::membership_change_requested request;
};

/// Transfer the leadership to another host, before a planned stop.
struct hand_over
{
};

/// Propose a configuration under a version chosen by the operator.
struct submit_orders
{
    /// The configuration; its document has been validated.
    catalog::put_configuration order;
};

/// Close or open an availability zone.
struct submit_zone_order
{
    /// The action and the zone that it applies to.
    catalog::close_zone order;
};

/// Read the configuration of the highest accepted version.
struct read_orders
{
};

/// Read this host's records of requests that crashed upstreams. Needs no
/// quorum.
struct read_crash_records
{
};

/// Allow a request to run again that was recorded as crashing upstreams.
struct lift_crash_record
{
    /// Digest of the request.
    std::uint64_t digest = 0;
    /// The operator who sends the request.
    std::string operator_name;
};

/// Read how much of their limits the customers use. Answered by the leader.
struct read_customers
{
};

/// Read what the leader plans for admission. Answered by the leader.
struct read_admission
{
};

/// An operator's request to a control host.
using operator_request =
    std::variant<submit_change, read_configuration, read_audit, read_status,
                 change_membership, hand_over, submit_orders, submit_zone_order,
                 read_orders, read_crash_records, lift_crash_record,
                 read_customers, read_admission>;

} // namespace bilberrylead::control

#endif
