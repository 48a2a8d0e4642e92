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

/// Propose a change of the configuration.
struct submit_change
{
    /// The change; its time is set by the leader.
    catalog::change_command change;
};

/// Read the accepted configuration.
struct read_configuration
{
    /// The revision that is wanted, 0 for the newest.
    revision wanted = 0;
    /// True to take what this host knows, without asking a quorum.
    bool allow_stale = false;
};

/// Read the audit trail, the newest entries first.
struct read_audit
{
    /// Most entries to give, over 0.
    std::size_t max_entries = 100;
};

/// Read what this host knows of itself and its peers. Needs no quorum.
struct read_status
{
};

/// Change who takes part in the group.
struct change_membership
{
    /// What to do, and to whom; its token is set here.
    agreement::membership_change_requested request;
};

/// Hand the leadership over, before a planned stop.
struct hand_over
{
};

/// Propose a configuration under the operator's own version.
struct submit_orders
{
    /// The configuration; its document was checked.
    catalog::put_configuration order;
};

/// Close or open an availability zone.
struct submit_zone_order
{
    /// What to do, and to which zone.
    catalog::close_zone order;
};

/// Read the configuration with the highest accepted version.
struct read_orders
{
};

/// Read which requests ended upstreams, as this host knows them. Needs no
/// quorum.
struct read_crash_records
{
};

/// Let a request run again under which upstreams ended.
struct lift_crash_record
{
    /// The request's digest.
    std::uint64_t digest = 0;
    /// Who asks.
    std::string operator_name;
};

/// What operators ask of a control host.
using operator_request =
    std::variant<submit_change, read_configuration, read_audit, read_status,
                 change_membership, hand_over, submit_orders, submit_zone_order,
                 read_orders, read_crash_records, lift_crash_record>;

} // namespace bilberrylead::control

#endif
