#ifndef BILBERRYLEAD_CONFIG_CONFIGURATION_HPP
#define BILBERRYLEAD_CONFIG_CONFIGURATION_HPP

#include "bilberrylead/config/caller_block.hpp"
#include "bilberrylead/config/caller_limits.hpp"
#include "bilberrylead/config/customer.hpp"
#include "bilberrylead/config/entry_host.hpp"
#include "bilberrylead/config/place.hpp"
#include "bilberrylead/config/region_link.hpp"
#include "bilberrylead/config/request_route.hpp"
#include "bilberrylead/config/selector.hpp"
#include "bilberrylead/config/service.hpp"
#include "bilberrylead/config/upstream.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::config
{

/// Everything that operators set: one consistent whole, checked before it
/// is proposed. A plain value; whoever holds it owns it.
struct configuration
{
    /// All services, by name.
    std::vector<service> services;
    /// All availability zones, by name.
    std::vector<place> places;
    /// What lies between regions.
    std::vector<region_link> links;
    /// All entry hosts, by name.
    std::vector<entry_host> entry_hosts;
    /// All upstreams, by name.
    std::vector<upstream> upstreams;
    /// Which callers reach which upstreams.
    std::vector<selector> selectors;
    /// Where callers are and how they are labelled.
    std::vector<caller_block> callers;
    /// Which requests go where, by host and path prefix. Empty: the first
    /// segment of a path names the service.
    std::vector<request_route> request_routes;
    /// All customers, by name. Empty: requests need no key.
    std::vector<customer> customers;
    /// What callers may send.
    caller_limits limits;
    /// Largest share of a region's callers that may move in one interval,
    /// in thousandths, 1 to 1000.
    std::uint32_t shift_cap = 100;

    friend bool operator==(configuration const&,
                           configuration const&) = default;
};

} // namespace bilberrylead::config

#endif
