#ifndef BILBERRYLEAD_LINK_MESSAGES_ENTRY_PRESENCE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_ENTRY_PRESENCE_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/discovery/list_position.hpp"
#include "bilberrylead/link/messages/admission_rows.hpp"
#include "bilberrylead/link/messages/service_demand.hpp"

#include <optional>
#include <vector>

namespace bilberrylead::link
{

/// Heartbeat of an entry host: what a control host needs to send callers
/// there, and to see whether it lags behind. Sent at a fixed pace and at
/// once when `ready` or `stopping` changes.
struct entry_presence
{
    /// Where callers reach it.
    config::endpoint address;
    /// The availability zone it stands in.
    zone_id zone;
    /// The zone's region.
    region_id region;
    /// True while it can serve callers.
    bool ready = false;
    /// True once it was asked to stop.
    bool stopping = false;
    /// The revision it has in force.
    revision in_force = 0;
    /// The listing of upstreams it goes by.
    discovery::list_position listing;
    /// What its callers ask of each service.
    std::vector<service_demand> demands;
    /// Demand by rank and of the largest customers, by service. Only for the
    /// leader; empty if admission is not by plan, or if the last report is
    /// recent.
    std::optional<std::vector<admission_rows>> admission = std::nullopt;
};

} // namespace bilberrylead::link

#endif
