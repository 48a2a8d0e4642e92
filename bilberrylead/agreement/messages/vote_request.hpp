#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_VOTE_REQUEST_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_VOTE_REQUEST_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Requests a vote in the message's term.
struct vote_request
{
    /// Index of the candidate's last entry.
    std::uint64_t last_index = 0;
    /// Term of the candidate's last entry.
    std::uint64_t last_term = 0;
    /// True if the leader requested this election, so that a voter with recent
    /// contact with that leader need not ignore the request.
    bool handover = false;

    friend bool operator==(vote_request const&, vote_request const&) = default;
};

} // namespace bilberrylead::agreement

#endif
