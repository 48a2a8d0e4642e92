#ifndef BILBERRYLEAD_PRESENCE_STEERING_QUERY_HPP
#define BILBERRYLEAD_PRESENCE_STEERING_QUERY_HPP

#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::presence
{

/// A caller asks which entry hosts to use.
struct steering_query
{
    /// The caller's region; empty if it does not say.
    region_id region;
    /// The caller's availability zone; empty if it does not say.
    zone_id zone;
};

} // namespace bilberrylead::presence

#endif
