#ifndef BILBERRYLEAD_DISCOVERY_LISTED_UPSTREAM_HPP
#define BILBERRYLEAD_DISCOVERY_LISTED_UPSTREAM_HPP

#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/time.hpp"

namespace bilberrylead::discovery
{

/// One upstream as the list of upstreams has it. Its id names one start of
/// it: an upstream that was started again has another id.
struct listed_upstream
{
    /// Id, service, zone, address, slots, and whether it leaves.
    config::upstream upstream;
    /// It is cold until then, by the clock of whoever holds this.
    instant cold_until{};
};

} // namespace bilberrylead::discovery

#endif
