#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_VOTE_REPLY_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_VOTE_REPLY_HPP

namespace bilberrylead::agreement
{

/// Reply to a vote_request, in the message's term.
struct vote_reply
{
    /// True if the sender voted for the requester, durably.
    bool granted = false;

    friend bool operator==(vote_reply const&, vote_reply const&) = default;
};

} // namespace bilberrylead::agreement

#endif
