#ifndef BILBERRYLEAD_ENTRY_HOME_SCOPE_STATUS_HPP
#define BILBERRYLEAD_ENTRY_HOME_SCOPE_STATUS_HPP

#include "bilberrylead/config/object_homes.hpp"

#include <cstddef>

namespace bilberrylead::entry
{

/// Where the objects of a service have their homes, and why.
struct home_scope_status
{
    config::object_homes scope = config::object_homes::region;
    /// Estimated number of distinct objects requested lately.
    double distinct_objects = 0;
    /// Upstreams of this host's zone that may receive requests.
    std::size_t zone_upstreams = 0;
    /// The same number for the region.
    std::size_t region_upstreams = 0;
};

} // namespace bilberrylead::entry

#endif
