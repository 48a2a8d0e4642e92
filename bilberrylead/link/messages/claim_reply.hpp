#ifndef BILBERRYLEAD_LINK_MESSAGES_CLAIM_REPLY_HPP
#define BILBERRYLEAD_LINK_MESSAGES_CLAIM_REPLY_HPP

#include "bilberrylead/once/claim_verdict.hpp"

#include <cstdint>

namespace bilberrylead::link
{

/// Answers a claim, once a quorum has it.
struct claim_reply
{
    /// The request's number.
    std::uint64_t number = 0;
    /// What became of it.
    once::claim_verdict verdict;
};

} // namespace bilberrylead::link

#endif
