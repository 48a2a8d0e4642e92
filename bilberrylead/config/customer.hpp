#ifndef BILBERRYLEAD_CONFIG_CUSTOMER_HPP
#define BILBERRYLEAD_CONFIG_CUSTOMER_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrylead::config
{

/// A customer whose callers identify themselves by a key.
struct customer
{
    /// Name, unique in the configuration; sent to upstreams.
    customer_id id;
    /// Secrets, any of which identifies the customer; no two customers share
    /// one. Never logged.
    std::vector<std::string> keys;
    /// Requests in 1000 s that all entry hosts together accept, besides the
    /// burst; 0 is no limit.
    std::uint64_t rate = 0;
    /// Requests that may be saved up and sent at once on top of the rate.
    std::uint64_t burst = 0;
    /// Rank of its requests, ahead of the rank of their routes; 0 is the most
    /// urgent.
    std::uint32_t priority = 0;
    /// Regions in which its requests may be served; empty for all.
    std::vector<region_id> regions;

    friend bool operator==(customer const&, customer const&) = default;
};

} // namespace bilberrylead::config

#endif
