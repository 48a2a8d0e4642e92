#ifndef BILBERRYLEAD_DISCOVERY_LISTING_DELIVERY_HPP
#define BILBERRYLEAD_DISCOVERY_LISTING_DELIVERY_HPP

#include "bilberrylead/core/delivery_tracker.hpp"
#include "bilberrylead/discovery/list_position.hpp"

namespace bilberrylead::discovery
{

/// How one listing reached the entry hosts.
using listing_delivery_report = bilberrylead::delivery_report<list_position>;

/// Tracks which entry hosts have confirmed the last listing.
using listing_delivery = delivery_tracker<list_position>;

} // namespace bilberrylead::discovery

#endif
