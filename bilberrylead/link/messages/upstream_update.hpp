#ifndef BILBERRYLEAD_LINK_MESSAGES_UPSTREAM_UPDATE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_UPSTREAM_UPDATE_HPP

#include "bilberrylead/discovery/list_changes.hpp"

namespace bilberrylead::link
{

/// A control host brings a listing of the upstreams.
struct upstream_update
{
    /// What changed, or all of it.
    discovery::list_changes changes;
};

} // namespace bilberrylead::link

#endif
