#ifndef BILBERRYLEAD_LINK_MESSAGES_HOST_PLACE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_HOST_PLACE_HPP

#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::link
{

/// A control host tells another one where it stands, so that the leader can
/// spread the voters. The first message on a link.
struct host_place
{
    /// Its availability zone.
    zone_id zone;
    /// The zone's region.
    region_id region;
};

} // namespace bilberrylead::link

#endif
