#ifndef BILBERRYLEAD_DAEMON_REVISION_LOG_HPP
#define BILBERRYLEAD_DAEMON_REVISION_LOG_HPP

#include "bilberrylead/core/delivery_tracker.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::control
{
struct change_confirmed;
} // namespace bilberrylead::control

namespace bilberrylead::daemon
{

/// Logs a change that is confirmed to an operator.
void log_confirmation(control::change_confirmed const& change);

/// Logs how a revision reached the entry hosts.
void log_delivery(delivery_report<revision> const& report);

} // namespace bilberrylead::daemon

#endif
