#include "bilberrylead/daemon/run_daemon.hpp"

#include "bilberrylead/core/error.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>

#include <fstream>
#include <iterator>

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

absl::StatusOr<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return make_error(error_kind::storage,
                          fmt::format("'{}' cannot be read.", path),
                          "Check the path and who may read it.");
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace bilberrylead::daemon
