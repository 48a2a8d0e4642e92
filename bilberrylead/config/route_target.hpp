#ifndef BILBERRYLEAD_CONFIG_ROUTE_TARGET_HPP
#define BILBERRYLEAD_CONFIG_ROUTE_TARGET_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::config
{

/// One of the services that a request route leads to.
struct route_target
{
    /// The service.
    service_id service;
    /// Its share of the route's requests, against the other targets; 0 is
    /// none.
    std::uint32_t weight = 1;

    friend bool operator==(route_target const&, route_target const&) = default;
};

} // namespace bilberrylead::config

#endif
