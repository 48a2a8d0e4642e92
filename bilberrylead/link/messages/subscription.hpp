#ifndef BILBERRYLEAD_LINK_MESSAGES_SUBSCRIPTION_HPP
#define BILBERRYLEAD_LINK_MESSAGES_SUBSCRIPTION_HPP

#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::link
{

/// How a subscriber wants to hear of a new revision over one link.
enum class delivery
{
    /// Only its number; the subscriber gets the content over another link.
    announced,
    /// The content, at once.
    pushed,
};

/// Says which revision the sender has in force and how it wants to hear of
/// newer ones over this link. Replaces the sender's earlier one; sent again
/// whenever either changes, and so is the acknowledgement as well.
struct subscription
{
    /// The sender's revision in force, 0 for none.
    revision in_force = 0;
    /// How to tell it of newer ones.
    delivery wanted = delivery::announced;
};

} // namespace bilberrylead::link

#endif
