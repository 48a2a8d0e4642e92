#ifndef BILBERRYLEAD_DISTRIBUTION_EXCHANGE_EVENT_HPP
#define BILBERRYLEAD_DISTRIBUTION_EXCHANGE_EVENT_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/link/messages/configuration_update.hpp"
#include "bilberrylead/link/messages/group_news.hpp"
#include "bilberrylead/link/messages/leader_notice.hpp"
#include "bilberrylead/link/messages/revision_announcement.hpp"
#include "bilberrylead/link/messages/subscription.hpp"
#include "bilberrylead/link/peer_callbacks.hpp"
#include "bilberrylead/link/peer_identity.hpp"

#include <memory>
#include <variant>

namespace bilberrylead::distribution
{

/// A document shared by several links and the process itself.
using shared_document = std::shared_ptr<bytes const>;

/// A link has opened.
struct link_opened
{
    /// The new link.
    link::link_number link = 0;
    /// The peer at the other end.
    link::peer_identity peer;
};

/// A link has closed.
struct link_closed
{
    /// The closed link.
    link::link_number link = 0;
};

/// A peer has reported its revision in force and requested a form of delivery.
struct subscription_received
{
    /// Link that the message arrived on.
    link::link_number link = 0;
    /// The message.
    link::subscription content;
};

/// A peer has announced the number of a revision that it holds.
struct announcement_received
{
    /// Link that the message arrived on.
    link::link_number link = 0;
    /// The message.
    link::revision_announcement content;
};

/// A peer has sent a revision with its document.
struct update_received
{
    /// Link that the message arrived on.
    link::link_number link = 0;
    /// The message.
    link::configuration_update content;
};

/// A control host has reported which control host leads.
struct leader_notice_received
{
    /// Link that the message arrived on.
    link::link_number link = 0;
    /// The message.
    link::leader_notice content;
};

/// A control host has reported the control hosts of the group.
struct group_news_received
{
    /// Link that the message arrived on.
    link::link_number link = 0;
    /// The message.
    link::group_news content;
};

/// This process has obtained a revision from its own log or disk.
struct revision_published
{
    /// The revision, over 0.
    revision number = 0;
    /// Its document.
    shared_document document;
};

/// Periodic timer event.
struct exchange_tick
{
};

/// Every event that an exchange handles.
using exchange_event =
    std::variant<link_opened, link_closed, subscription_received,
                 announcement_received, update_received, leader_notice_received,
                 group_news_received, revision_published, exchange_tick>;

} // namespace bilberrylead::distribution

#endif
