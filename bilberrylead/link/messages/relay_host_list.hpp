#ifndef BILBERRYLEAD_LINK_MESSAGES_RELAY_HOST_LIST_HPP
#define BILBERRYLEAD_LINK_MESSAGES_RELAY_HOST_LIST_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/ids.hpp"

#include <vector>

namespace bilberrylead::link
{

/// An entry host that reaches upstreams.
struct relay_host
{
    /// Its name.
    host_id id;
    /// Where it accepts callers.
    config::endpoint address;
    /// Its region.
    region_id region;

    friend bool operator==(relay_host const&, relay_host const&) = default;
};

/// Entry hosts to which one that has lost its way to all upstreams may pass
/// requests on, the nearest first.
struct relay_host_list
{
    std::vector<relay_host> hosts;
};

} // namespace bilberrylead::link

#endif
