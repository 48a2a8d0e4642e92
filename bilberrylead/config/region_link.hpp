#ifndef BILBERRYLEAD_CONFIG_REGION_LINK_HPP
#define BILBERRYLEAD_CONFIG_REGION_LINK_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::config
{

/// What lies between two regions, in both directions alike.
struct region_link
{
    /// One end.
    region_id from;
    /// The other end.
    region_id to;
    /// One-way latency.
    duration latency{};
    /// Requests under way that the link may carry; 0 is no limit.
    std::uint32_t capacity = 0;

    friend bool operator==(region_link const&, region_link const&) = default;
};

} // namespace bilberrylead::config

#endif
