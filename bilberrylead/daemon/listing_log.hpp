#ifndef BILBERRYLEAD_DAEMON_LISTING_LOG_HPP
#define BILBERRYLEAD_DAEMON_LISTING_LOG_HPP

#include "bilberrylead/discovery/listing_delivery.hpp"

namespace bilberrylead::control
{
struct listing_changed;
} // namespace bilberrylead::control

namespace bilberrylead::daemon
{

/// Logs a listing of upstreams that is held from now on.
void log_listing(control::listing_changed const& listing);

/// Logs how a listing reached the entry hosts.
void log_delivery(discovery::listing_delivery_report const& report);

} // namespace bilberrylead::daemon

#endif
