#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_SEND_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_SEND_HPP

#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::agreement
{

/// Send a message, which may be lost.
struct send
{
    /// Receiver; all incarnations of a host share its address.
    host_id to;
    /// The message to send.
    agreement::message message;
};

} // namespace bilberrylead::agreement

#endif
