#ifndef BILBERRYLEAD_CONFIG_REQUEST_ROUTE_HPP
#define BILBERRYLEAD_CONFIG_REQUEST_ROUTE_HPP

#include "bilberrylead/config/route_target.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberrylead::config
{

/// Which requests go to which services, and how they are treated. Of the
/// routes of a request's host the one with the longest prefix that begins
/// its path is taken. A configuration with routes has no other way in: a
/// request that none of them names is refused with 404.
struct request_route
{
    /// The Host header, without port.
    std::string host;
    /// Starts and ends with a slash; unique among the routes of the host.
    std::string path_prefix;
    /// True if a request may run more than once.
    bool idempotent = false;
    /// True if answers are large, so that they are passed on as they come.
    bool transfer = false;
    /// Where requests go, in proportion to the weights; at least one, and
    /// their weights add up to more than 0.
    std::vector<route_target> targets;
    /// Longest time a request may be kept waiting for its answer; over 0.
    duration timeout = std::chrono::seconds(60);
    /// Time within which an answer is worth most to its caller; over 0.
    duration aim = std::chrono::seconds(1);
    /// Upstreams that one request may be sent to; at least 1.
    std::uint32_t most_attempts = 1;
    /// Rank among the routes of a service; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// True if an upstream that handled an object lately is faster with it.
    bool object_affinity = false;
    /// True if its requests need no customer's key.
    bool is_public = false;
    /// Regions that its requests may be served in; empty is everywhere.
    std::vector<region_id> regions;

    friend bool operator==(request_route const&,
                           request_route const&) = default;
};

} // namespace bilberrylead::config

#endif
