#ifndef BILBERRYLEAD_DAEMON_ENTRY_PROGRAM_HPP
#define BILBERRYLEAD_DAEMON_ENTRY_PROGRAM_HPP

#include "bilberrylead/config/entry_settings.hpp"
#include "bilberrylead/daemon/entry_adapter.hpp"
#include "bilberrylead/daemon/settings_source.hpp"

#include <absl/status/status.h>

#include <memory>

namespace bilberrylead::daemon
{

/// An entry host's process: carries callers' requests, takes revisions from
/// control hosts and neighbours, and gets claims from the leader. One
/// thread.
class entry_program
{
public:
    /// Makes the process; nothing is opened yet.
    entry_program(config::entry_settings settings,
                  settings_source<config::entry_settings> source,
                  entry_bindings bindings);
    ~entry_program();
    entry_program(entry_program const&) = delete;
    entry_program& operator=(entry_program const&) = delete;

    /// Opens the ports and runs until SIGTERM or SIGINT, after which every
    /// request under way is carried to its end first. An error says why it
    /// could not start.
    absl::Status run();

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace bilberrylead::daemon

#endif
