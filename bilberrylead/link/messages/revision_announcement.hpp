#ifndef BILBERRYLEAD_LINK_MESSAGES_REVISION_ANNOUNCEMENT_HPP
#define BILBERRYLEAD_LINK_MESSAGES_REVISION_ANNOUNCEMENT_HPP

#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::link
{

/// Says that the sender holds this revision and will give it on request.
struct revision_announcement
{
    /// The sender's revision in force.
    revision in_force = 0;
};

} // namespace bilberrylead::link

#endif
