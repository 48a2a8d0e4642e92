#ifndef BILBERRYLEAD_DAEMON_SETTINGS_SOURCE_HPP
#define BILBERRYLEAD_DAEMON_SETTINGS_SOURCE_HPP

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/daemon/read_file.hpp"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bilberrylead::daemon
{

/// A settings file that may change while the process runs, with a signal or
/// without one.
template <class Settings>
class settings_source
{
public:
    /// Reads settings from a text; the second argument names the file.
    using parse_function = absl::StatusOr<Settings> (*)(std::string_view,
                                                        std::string_view);

    /// A file whose content is known already.
    settings_source(std::string file, std::string content, parse_function parse)
        : path(std::move(file)), text(std::move(content)), read(parse)
    {
    }

    /// The settings, if the file says something else than last time and can
    /// be read. A file that cannot be read changes nothing: the process goes
    /// on as it is, and says so once.
    std::optional<Settings> changed()
    {
        absl::StatusOr<std::string> const now = read_file(this->path);
        if (!now.ok() || *now == this->text)
        {
            return std::nullopt;
        }
        this->text = *now;
        absl::StatusOr<Settings> settings = this->read(*now, this->path);
        if (!settings.ok())
        {
            part_log("settings")
                .error("The changed settings are not used: {}",
                       std::string(settings.status().message()));
            return std::nullopt;
        }
        return *std::move(settings);
    }

private:
    std::string path;
    std::string text;
    parse_function read;
};

} // namespace bilberrylead::daemon

#endif
