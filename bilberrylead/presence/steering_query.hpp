#ifndef BILBERRYLEAD_PRESENCE_STEERING_QUERY_HPP
#define BILBERRYLEAD_PRESENCE_STEERING_QUERY_HPP

#include "bilberrylead/core/ids.hpp"

#include <optional>
#include <set>
#include <string>

namespace bilberrylead::presence
{

/// A caller's query for the entry hosts that it should use.
struct steering_query
{
    /// The caller's region; empty if not given.
    region_id region;
    /// The caller's availability zone; empty if not given.
    zone_id zone;
    /// The host name that the caller sends its requests to; empty if not given.
    std::string name;
    /// Regions, besides the caller's, in which hosts may receive the requests;
    /// nothing for all.
    std::optional<std::set<region_id>> permitted_regions;
};

} // namespace bilberrylead::presence

#endif
