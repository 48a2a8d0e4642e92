#ifndef BILBERRYLEAD_DAEMON_DELIVERY_FIELDS_HPP
#define BILBERRYLEAD_DAEMON_DELIVERY_FIELDS_HPP

#include "bilberrylead/core/delivery_tracker.hpp"
#include "bilberrylead/core/log_line.hpp"

#include <cstdint>

namespace bilberrylead::daemon
{

/// Adds how a version reached the entry hosts to a log line.
template <class Version>
log_line& add_delivery(log_line& line, delivery_report<Version> const& report)
{
    return line.number("hosts", static_cast<std::int64_t>(report.hosts))
        .number("confirmed", static_cast<std::int64_t>(report.confirmed))
        .text("slowest", report.slowest.text())
        .time("slowest_ms", report.slowest_time);
}

} // namespace bilberrylead::daemon

#endif
