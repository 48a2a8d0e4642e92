#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_MESSAGE_RECEIVED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_MESSAGE_RECEIVED_HPP

#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::agreement
{

/// A message arrived over a link whose peer is authenticated as `from`.
struct message_received
{
    /// The sender.
    host_id from;
    /// The message.
    agreement::message message;
};

} // namespace bilberrylead::agreement

#endif
