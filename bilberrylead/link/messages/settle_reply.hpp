#ifndef BILBERRYLEAD_LINK_MESSAGES_SETTLE_REPLY_HPP
#define BILBERRYLEAD_LINK_MESSAGES_SETTLE_REPLY_HPP

#include "bilberrylead/once/settle_result.hpp"

#include <cstdint>

namespace bilberrylead::link
{

/// Answers a complete, release or mark_unknown, once a quorum has it.
struct settle_reply
{
    /// The request's number.
    std::uint64_t number = 0;
    /// What became of it.
    once::settle_result result = once::settle_result::no_record;
};

} // namespace bilberrylead::link

#endif
