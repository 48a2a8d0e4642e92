#ifndef BILBERRYLEAD_LINK_MESSAGES_SERVICE_DEMAND_HPP
#define BILBERRYLEAD_LINK_MESSAGES_SERVICE_DEMAND_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::link
{

/// What callers of one entry host ask of one service.
struct service_demand
{
    /// The service.
    service_id service;
    /// Slots that its requests would hold on average if all of them were
    /// served: arrivals a second times service time; in thousandths.
    std::uint32_t slots = 0;
};

} // namespace bilberrylead::link

#endif
