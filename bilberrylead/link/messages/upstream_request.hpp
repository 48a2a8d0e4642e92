#ifndef BILBERRYLEAD_LINK_MESSAGES_UPSTREAM_REQUEST_HPP
#define BILBERRYLEAD_LINK_MESSAGES_UPSTREAM_REQUEST_HPP

#include "bilberrylead/discovery/list_position.hpp"

namespace bilberrylead::link
{

/// Asks a control host for its whole listing of the upstreams, if that is
/// newer than the one held.
struct upstream_request
{
    /// The listing that the sender holds.
    discovery::list_position held;
};

} // namespace bilberrylead::link

#endif
