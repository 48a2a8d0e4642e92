#ifndef BILBERRYLEAD_LINK_MESSAGES_REGISTRATION_REPLY_HPP
#define BILBERRYLEAD_LINK_MESSAGES_REGISTRATION_REPLY_HPP

#include "bilberrylead/once/registration.hpp"

namespace bilberrylead::link
{

/// Answers a registration_request, once a quorum has it.
struct registration_reply
{
    /// What became of it.
    once::registration result;
};

} // namespace bilberrylead::link

#endif
