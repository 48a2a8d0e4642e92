#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_VOTE_REQUEST_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_VOTE_REQUEST_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Asks for a vote in the message's term.
struct vote_request
{
    /// Index of the candidate's last entry.
    std::uint64_t last_index = 0;
    /// Term of the candidate's last entry.
    std::uint64_t last_term = 0;
    /// True if the leader itself asked for this election, so that a voter
    /// which hears that leader need not turn it down.
    bool handover = false;

    friend bool operator==(vote_request const&, vote_request const&) = default;
};

} // namespace bilberrylead::agreement

#endif
