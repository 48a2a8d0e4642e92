#ifndef BILBERRYLEAD_CTL_COMMANDS_HPP
#define BILBERRYLEAD_CTL_COMMANDS_HPP

#include "bilberrylead/ctl/command_line.hpp"

#include <span>
#include <string_view>

namespace bilberrylead::ctl
{

/// One subcommand of bilberryctl.
struct command
{
    /// Its name.
    std::string_view name;
    /// What its argument is, empty if it takes none.
    std::string_view subject;
    /// What it does, one line.
    std::string_view help;
    /// Does it; writes the result to standard output, errors to standard
    /// error.
    exit_code (*run)(command_line const& line);
};

/// All subcommands, in the order in which the help shows them.
std::span<command const> all_commands();

} // namespace bilberrylead::ctl

#endif
