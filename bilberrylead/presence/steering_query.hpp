#ifndef BILBERRYLEAD_PRESENCE_STEERING_QUERY_HPP
#define BILBERRYLEAD_PRESENCE_STEERING_QUERY_HPP

#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::presence
{

/// A caller's query for the entry hosts that it should use.
struct steering_query
{
    /// The caller's region; empty if not given.
    region_id region;
    /// The caller's availability zone; empty if not given.
    zone_id zone;
};

} // namespace bilberrylead::presence

#endif
