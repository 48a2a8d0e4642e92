#ifndef BILBERRYLEAD_DISTRIBUTION_EXCHANGE_EFFECT_HPP
#define BILBERRYLEAD_DISTRIBUTION_EXCHANGE_EFFECT_HPP

#include "bilberrylead/distribution/exchange_event.hpp"
#include "bilberrylead/distribution/first_revision_choice.hpp"
#include "bilberrylead/link/message.hpp"

#include <optional>
#include <variant>

namespace bilberrylead::distribution
{

/// Send a message over a link.
struct send_message
{
    /// Link to send on.
    link::link_number link = 0;
    link::message content;
};

/// Put a revision in force. Its number is larger than all before.
struct install_revision
{
    /// The revision.
    revision number = 0;
    /// Its document, not validated yet.
    shared_document document;
    /// How it was chosen; only for the first revision of a process that waits
    /// for several answers.
    std::optional<first_revision_choice> first;
};

/// What an exchange wants done.
using exchange_effect = std::variant<send_message, install_revision>;

} // namespace bilberrylead::distribution

#endif
