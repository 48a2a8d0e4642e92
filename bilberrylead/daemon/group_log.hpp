#ifndef BILBERRYLEAD_DAEMON_GROUP_LOG_HPP
#define BILBERRYLEAD_DAEMON_GROUP_LOG_HPP

#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <optional>
#include <string_view>

namespace bilberrylead::agreement
{
struct role_changed;
} // namespace bilberrylead::agreement

namespace bilberrylead::daemon
{

/// Logs, when they change, the members of the group as this control host
/// knows them, its leader, and how it answers operators.
class group_log
{
public:
    /// Writes a line if the members differ from those of the last call.
    void record_members(agreement::membership const& current);

    /// Writes a line when a leader is known again. Returns the time for which
    /// none was; empty if one was known or none is.
    std::optional<duration> record_role(agreement::role_changed const& current,
                                        instant now);

    /// Writes a line if `outcome` or `leader` (empty if unknown) differs from
    /// that of the last call. `outcome` is a text of static lifetime.
    void record_operator_call(std::string_view outcome, host_id const& leader);

private:
    agreement::membership members;
    /// Since when no leader is known; empty while one is.
    std::optional<instant> without_leader_since;
    std::string_view last_outcome;
    host_id last_leader;
};

} // namespace bilberrylead::daemon

#endif
