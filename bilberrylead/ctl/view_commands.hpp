#ifndef BILBERRYLEAD_CTL_VIEW_COMMANDS_HPP
#define BILBERRYLEAD_CTL_VIEW_COMMANDS_HPP

#include "bilberrylead/ctl/command_line.hpp"

namespace bilberrylead::ctl
{

/// Shows the accepted configuration.
exit_code run_get(command_line const& line);

/// Shows every control host's status.
exit_code run_status(command_line const& line);

/// Shows the audit trail, newest first.
exit_code run_audit(command_line const& line);

/// Shows which requests ended upstreams.
exit_code run_crashes(command_line const& line);

/// Shows how much of their limits the customers use.
exit_code run_customers(command_line const& line);

/// Shows which share of the demand the leader admits.
exit_code run_admission(command_line const& line);

/// Waits until a revision is in force at every entry host.
exit_code run_wait(command_line const& line);

} // namespace bilberrylead::ctl

#endif
