#ifndef BILBERRYLEAD_LINK_MESSAGES_ONCE_REQUEST_HPP
#define BILBERRYLEAD_LINK_MESSAGES_ONCE_REQUEST_HPP

#include "bilberrylead/once/once_command.hpp"

#include <cstdint>

namespace bilberrylead::link
{

/// An entry host asks for a claim, or reports how one ended. Safe to send
/// again: the records decide by key and request.
struct once_request
{
    /// The sender's number for it; answers carry it back.
    std::uint64_t number = 0;
    /// claim, complete, release or mark_unknown.
    once::once_command command;
};

} // namespace bilberrylead::link

#endif
