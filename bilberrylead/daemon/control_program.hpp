#ifndef BILBERRYLEAD_DAEMON_CONTROL_PROGRAM_HPP
#define BILBERRYLEAD_DAEMON_CONTROL_PROGRAM_HPP

#include "bilberrylead/config/control_settings.hpp"
#include "bilberrylead/daemon/control_adapter.hpp"
#include "bilberrylead/daemon/settings_source.hpp"

#include <absl/status/status.h>

#include <memory>

namespace bilberrylead::daemon
{

/// A control host's process: carries out what its reducer wants, on one
/// thread.
class control_program
{
public:
    /// Makes the process; nothing is opened yet.
    control_program(config::control_settings settings,
                    settings_source<config::control_settings> source,
                    control_bindings bindings);
    ~control_program();
    control_program(control_program const&) = delete;
    control_program& operator=(control_program const&) = delete;

    /// Opens data folder and ports, and runs until SIGTERM or SIGINT, when
    /// a leader hands its office over first. An error says why it could not
    /// start or had to end.
    absl::Status run();

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace bilberrylead::daemon

#endif
