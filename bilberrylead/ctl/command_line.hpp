#ifndef BILBERRYLEAD_CTL_COMMAND_LINE_HPP
#define BILBERRYLEAD_CTL_COMMAND_LINE_HPP

#include "bilberrylead/ctl/operator_client.hpp"

#include <cstdint>
#include <string>

namespace bilberrylead::ctl
{

/// Exit codes of bilberryctl, as its help and docs/OPERATORS.md state them.
enum class exit_code
{
    /// Done as asked.
    done = 0,
    /// No control host could do it now; asking again is safe.
    failed = 1,
    /// The command line or the input is wrong; nothing was changed.
    bad_input = 2,
    /// Another change was accepted on the same base; nothing was changed.
    conflict = 3,
    /// It was not in force everywhere within the time given.
    not_yet = 4,
};

/// How results are shown.
enum class output_form
{
    /// Columns, for people.
    table,
    /// JSON, for programs.
    json,
};

/// What the command line says, whichever command it is.
struct command_line
{
    /// How to reach the control hosts.
    operator_client_settings client;
    /// How to show the result.
    output_form output = output_form::table;
    /// The command's own argument: a file, a name, a revision.
    std::string subject;
    /// A second argument, for commands that take one.
    std::string second_subject;
    /// Id of the change; made up if empty.
    std::string change_id;
    /// Base revision of the change; the newest if there is none.
    std::uint64_t base_revision = 0;
    /// True if a base revision was given.
    bool has_base_revision = false;
    /// How many rows to show.
    std::uint64_t most = 20;
};

} // namespace bilberrylead::ctl

#endif
