#ifndef BILBERRYLEAD_LINK_MESSAGES_GROUP_HOST_HPP
#define BILBERRYLEAD_LINK_MESSAGES_GROUP_HOST_HPP

#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::link
{

/// A control host of the group and where it stands.
struct group_host
{
    /// Its name.
    host_id id;
    /// Its availability zone; empty while the sender does not know it.
    zone_id zone;
    /// Its region; empty while the sender does not know it.
    region_id region;

    friend bool operator==(group_host const&, group_host const&) = default;
};

} // namespace bilberrylead::link

#endif
