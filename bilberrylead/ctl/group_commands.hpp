#ifndef BILBERRYLEAD_CTL_GROUP_COMMANDS_HPP
#define BILBERRYLEAD_CTL_GROUP_COMMANDS_HPP

#include "bilberrylead/ctl/command_line.hpp"

namespace bilberrylead::ctl
{

/// Founds a new group of control hosts, once, on blank data folders.
exit_code run_found(command_line const& line);

/// Takes a new control host into the group.
exit_code run_add_member(command_line const& line);

/// Takes a control host out of the group.
exit_code run_remove_member(command_line const& line);

/// Lets a request run again under which upstreams ended.
exit_code run_lift(command_line const& line);

/// Lets the leader hand its office over.
exit_code run_handover(command_line const& line);

} // namespace bilberrylead::ctl

#endif
