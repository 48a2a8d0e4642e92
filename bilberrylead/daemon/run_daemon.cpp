#include "bilberrylead/daemon/run_daemon.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>

namespace bilberrylead::daemon
{

std::optional<daemon_arguments> read_arguments(int count, char const** values,
                                               char const* description)
{
    try
    {
        TCLAP::CmdLine command(description, ' ', "0.1");
        TCLAP::SwitchArg check("c", "check",
                               "Only check the settings, then exit.", command);
        TCLAP::UnlabeledValueArg<std::string> file(
            "settings", "Settings file, JSON with comments.", true, "", "FILE",
            command);
        command.setExceptionHandling(false);
        command.parse(count, values);
        return daemon_arguments{file.getValue(), check.getValue()};
    }
    catch (TCLAP::ExitException const& asked)
    {
        // --help or --version, which have written their text.
        std::exit(asked.getExitStatus());
    }
    catch (TCLAP::ArgException const& wrong)
    {
        fmt::print(stderr, "{}: {}. Run with --help for the usage.\n",
                   wrong.argId(), wrong.error());
        return std::nullopt;
    }
}

} // namespace bilberrylead::daemon
