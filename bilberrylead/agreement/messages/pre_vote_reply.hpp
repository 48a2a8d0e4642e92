#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_PRE_VOTE_REPLY_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_PRE_VOTE_REPLY_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Reply to a pre_vote_request.
struct pre_vote_reply
{
    /// Proposed term of the request.
    std::uint64_t proposed_term = 0;
    /// True if the sender would vote for the requester.
    bool granted = false;

    friend bool operator==(pre_vote_reply const&,
                           pre_vote_reply const&) = default;
};

} // namespace bilberrylead::agreement

#endif
