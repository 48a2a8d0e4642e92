#ifndef BILBERRYLEAD_LINK_MESSAGES_REPLICA_MESSAGE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_REPLICA_MESSAGE_HPP

#include "bilberrylead/core/bytes.hpp"

namespace bilberrylead::link
{

/// A message between replicas of the log, encoded by the agreement part.
struct replica_message
{
    /// What agreement::encode_message() gave.
    bytes content;
};

} // namespace bilberrylead::link

#endif
