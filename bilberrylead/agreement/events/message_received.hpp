#ifndef BILBERRYLEAD_AGREEMENT_EVENTS_MESSAGE_RECEIVED_HPP
#define BILBERRYLEAD_AGREEMENT_EVENTS_MESSAGE_RECEIVED_HPP

#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::agreement
{

/// A message arrived over a link whose other end is known to be `from`.
struct message_received
{
    /// Who sent it.
    host_id from;
    /// What it says.
    agreement::message message;
};

} // namespace bilberrylead::agreement

#endif
