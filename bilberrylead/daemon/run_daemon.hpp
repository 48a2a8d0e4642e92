#ifndef BILBERRYLEAD_DAEMON_RUN_DAEMON_HPP
#define BILBERRYLEAD_DAEMON_RUN_DAEMON_HPP

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/daemon/read_file.hpp"
#include "bilberrylead/daemon/settings_source.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <fmt/format.h>

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrylead::daemon
{

/// Exit codes of the daemons.
enum class exit_code
{
    /// It ran and was asked to stop, or the settings were checked and good.
    good = 0,
    /// It could not start, or had to end.
    failed = 1,
    /// The command line or the settings are wrong.
    bad_settings = 2,
};

/// What a daemon's command line says.
struct daemon_arguments
{
    /// Path of the settings file.
    std::string settings_file;
    /// True if the settings are only checked.
    bool only_check = false;
};

/// Reads the command line: the settings file and --check. Nothing if it is
/// wrong; why was written to standard error then.
std::optional<daemon_arguments> read_arguments(int count, char const** values,
                                               char const* description);

/// The main function of a daemon: reads its settings, then checks or runs
/// it. `Program` is made from the settings and has run().
template <class Program, class Settings, class... Bindings>
int run_daemon(int count, char const** values, char const* description,
               absl::StatusOr<Settings> (*parse)(std::string_view,
                                                 std::string_view),
               Bindings const&... bindings)
{
    std::optional<daemon_arguments> const arguments =
        read_arguments(count, values, description);
    if (!arguments.has_value())
    {
        return static_cast<int>(exit_code::bad_settings);
    }
    absl::StatusOr<std::string> const text =
        read_file(arguments->settings_file);
    if (!text.ok())
    {
        fmt::print(stderr, "{}\n", std::string(text.status().message()));
        return static_cast<int>(exit_code::bad_settings);
    }
    absl::StatusOr<Settings> settings = parse(*text, arguments->settings_file);
    if (!settings.ok())
    {
        fmt::print(stderr, "{}\n", std::string(settings.status().message()));
        return static_cast<int>(exit_code::bad_settings);
    }
    if (arguments->only_check)
    {
        fmt::print("{} is valid.\n", arguments->settings_file);
        return static_cast<int>(exit_code::good);
    }
    set_log_level(settings->lowest_log_level);
    make_log_non_blocking();
    Program program(
        *std::move(settings),
        settings_source<Settings>(arguments->settings_file, *text, parse),
        bindings...);
    absl::Status const ended = program.run();
    if (!ended.ok())
    {
        fmt::print(stderr, "{}\n", std::string(ended.message()));
        return static_cast<int>(exit_code::failed);
    }
    return static_cast<int>(exit_code::good);
}

} // namespace bilberrylead::daemon

#endif
