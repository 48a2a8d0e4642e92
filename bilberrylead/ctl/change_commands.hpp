#ifndef BILBERRYLEAD_CTL_CHANGE_COMMANDS_HPP
#define BILBERRYLEAD_CTL_CHANGE_COMMANDS_HPP

#include "bilberrylead/ctl/command_line.hpp"

namespace bilberrylead::ctl
{

/// Checks a configuration file without asking anybody.
exit_code run_check(command_line const& line);

/// Proposes a configuration file as the next revision.
exit_code run_apply(command_line const& line);

/// Marks an upstream or entry host as leaving.
exit_code run_drain(command_line const& line);

/// Takes the mark off again.
exit_code run_undrain(command_line const& line);

} // namespace bilberrylead::ctl

#endif
