#ifndef BILBERRYLEAD_DAEMON_ENTRY_METRICS_HPP
#define BILBERRYLEAD_DAEMON_ENTRY_METRICS_HPP

#include <memory>
#include <string>

namespace bilberrylead::http
{
class caller_server;
} // namespace bilberrylead::http

namespace bilberrylead::daemon
{

/// An entry host's metrics, in Prometheus' text format. Names and units
/// stand in docs/OPERATORS.md.
class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();
    entry_metrics(entry_metrics const&) = delete;
    entry_metrics& operator=(entry_metrics const&) = delete;

    /// All metrics as of now.
    std::string text(http::caller_server const& server, bool control_reachable);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace bilberrylead::daemon

#endif
