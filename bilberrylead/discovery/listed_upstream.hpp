#ifndef BILBERRYLEAD_DISCOVERY_LISTED_UPSTREAM_HPP
#define BILBERRYLEAD_DISCOVERY_LISTED_UPSTREAM_HPP

#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"

#include <optional>

namespace bilberrylead::discovery
{

/// One upstream of the upstream list. It may start again under its id, as
/// another incarnation that knows nothing of before.
struct listed_upstream
{
    /// Id, service, zone, address, slots, and whether it is leaving.
    config::upstream upstream;
    /// Time until which it is cold, by the clock of the process that holds
    /// the listing.
    instant cold_until{};
    /// Time at which it started, as it states it; empty if it states none. Two
    /// different times are of two incarnations.
    std::optional<wall_time> started_at = std::nullopt;
    /// The listing in which its current incarnation stood first; that of a
    /// later incarnation is greater. Zero if it is older than the listings.
    list_position incarnation = {};
};

} // namespace bilberrylead::discovery

#endif
