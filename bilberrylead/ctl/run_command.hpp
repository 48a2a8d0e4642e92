#ifndef BILBERRYLEAD_CTL_RUN_COMMAND_HPP
#define BILBERRYLEAD_CTL_RUN_COMMAND_HPP

#include "bilberrylead/ctl/command_line.hpp"

#include <string>
#include <vector>

namespace bilberrylead::ctl
{

/// What the environment says, where the command line says nothing.
struct environment_defaults
{
    /// BILBERRY_CONTROL: operator addresses, with commas between them.
    std::string control;
    /// BILBERRY_KEY: the operator's key.
    std::string key;
};

/// Runs one command of bilberryctl: its name, arguments and options, without
/// the program's own name. Writes the result to standard output, errors to
/// standard error; `bad_input` before anybody is asked if the line is wrong.
exit_code run_command(std::vector<std::string> const& words,
                      environment_defaults const& defaults);

} // namespace bilberrylead::ctl

#endif
