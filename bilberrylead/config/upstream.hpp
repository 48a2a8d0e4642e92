#ifndef BILBERRYLEAD_CONFIG_UPSTREAM_HPP
#define BILBERRYLEAD_CONFIG_UPSTREAM_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/labels.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::config
{

/// A server of the user's that runs requests of one service.
struct upstream
{
    /// Name, unique in the configuration.
    upstream_id id;
    /// The service it runs.
    service_id service;
    /// The availability zone it stands in.
    zone_id zone;
    /// Where it takes HTTP/1.1 requests.
    endpoint address;
    /// What selectors match.
    config::labels labels;
    /// Requests it runs at a time; at least 1.
    std::uint32_t slots = 3;
    /// Connections it takes in all, from all entry hosts; at least 1.
    std::uint32_t connections = 330;
    /// True once an operator drains it: no new work.
    bool leaving = false;

    friend bool operator==(upstream const&, upstream const&) = default;
};

} // namespace bilberrylead::config

#endif
