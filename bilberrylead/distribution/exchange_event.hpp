#ifndef BILBERRYLEAD_DISTRIBUTION_EXCHANGE_EVENT_HPP
#define BILBERRYLEAD_DISTRIBUTION_EXCHANGE_EVENT_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/link/messages/configuration_update.hpp"
#include "bilberrylead/link/messages/revision_announcement.hpp"
#include "bilberrylead/link/messages/subscription.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"
#include "bilberrylead/link/peer_identity.hpp"

#include <memory>
#include <variant>

namespace bilberrylead::distribution
{

/// A document that several links and the process itself share.
using shared_document = std::shared_ptr<bytes const>;

/// A link is open.
struct link_opened
{
    /// Which one.
    link::link_number link = 0;
    /// Who is at the other end.
    link::peer_identity peer;
};

/// A link is gone.
struct link_closed
{
    /// Which one.
    link::link_number link = 0;
};

/// The peer said what it has and how it wants to hear of more.
struct subscription_received
{
    /// Over which link.
    link::link_number link = 0;
    /// What it said.
    link::subscription content;
};

/// The peer holds a revision.
struct announcement_received
{
    /// Over which link.
    link::link_number link = 0;
    /// What it said.
    link::revision_announcement content;
};

/// The peer brought a revision.
struct update_received
{
    /// Over which link.
    link::link_number link = 0;
    /// What it brought.
    link::configuration_update content;
};

/// This process has a revision from its own log or disk.
struct revision_published
{
    /// The revision, over 0.
    revision number = 0;
    /// Its document.
    shared_document document;
};

/// Time has passed.
struct exchange_tick
{
};

/// Everything that can happen to an exchange.
using exchange_event =
    std::variant<link_opened, link_closed, subscription_received,
                 announcement_received, update_received, revision_published,
                 exchange_tick>;

} // namespace bilberrylead::distribution

#endif
