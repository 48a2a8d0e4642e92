#ifndef BILBERRYLEAD_DISCOVERY_LISTED_UPSTREAM_HPP
#define BILBERRYLEAD_DISCOVERY_LISTED_UPSTREAM_HPP

#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/time.hpp"

namespace bilberrylead::discovery
{

/// One upstream of the upstream list. Its id identifies one incarnation: an
/// upstream that has restarted has another id.
struct listed_upstream
{
    /// Id, service, zone, address, slots, and whether it is leaving.
    config::upstream upstream;
    /// Time until which it is cold, by the clock of the process that holds
    /// the listing.
    instant cold_until{};
};

} // namespace bilberrylead::discovery

#endif
