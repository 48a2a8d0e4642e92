#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_SEND_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_SEND_HPP

#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::agreement
{

/// Send a message; it may get lost.
struct send
{
    /// To whom; all incarnations of a host share its address.
    host_id to;
    /// What to send.
    agreement::message message;
};

} // namespace bilberrylead::agreement

#endif
