#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_PRE_VOTE_REQUEST_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_PRE_VOTE_REQUEST_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Asks whether the receiver would vote for the sender in the proposed term.
/// Changes no state at either end.
struct pre_vote_request
{
    /// The term the sender would campaign in.
    std::uint64_t proposed_term = 0;
    /// Index of the sender's last entry.
    std::uint64_t last_index = 0;
    /// Term of the sender's last entry.
    std::uint64_t last_term = 0;

    friend bool operator==(pre_vote_request const&,
                           pre_vote_request const&) = default;
};

} // namespace bilberrylead::agreement

#endif
