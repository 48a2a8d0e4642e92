#include "bilberrylead/daemon/revision_log.hpp"

#include "bilberrylead/control/control_effect.hpp"
#include "bilberrylead/core/log_line.hpp"
#include "bilberrylead/daemon/delivery_fields.hpp"

#include <cstdint>

namespace bilberrylead::daemon
{

void log_confirmation(control::change_confirmed const& change)
{
    log_line("control", "change_confirmed")
        .number("revision", static_cast<std::int64_t>(change.number))
        .number("hosts", static_cast<std::int64_t>(change.hosts))
        .number("behind", static_cast<std::int64_t>(change.hosts_behind))
        .text("host_behind", change.behind.text())
        .time("waited_ms", change.waited)
        .write();
}

void log_delivery(delivery_report<revision> const& report)
{
    log_line line("control", "revision_delivered");
    line.number("revision", static_cast<std::int64_t>(report.position));
    add_delivery(line, report).write();
}

} // namespace bilberrylead::daemon
