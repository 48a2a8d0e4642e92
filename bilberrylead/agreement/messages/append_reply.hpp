#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_APPEND_REPLY_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_APPEND_REPLY_HPP

#include <cstdint>

namespace bilberrylead::agreement
{

/// Answer to an append_request.
struct append_reply
{
    /// Echo of the request.
    std::uint64_t round = 0;
    /// True if the sender's log agrees durably up to match_index.
    bool success = false;
    /// If success: last index known to agree with the leader's log.
    std::uint64_t match_index = 0;
    /// If not: previous_index of the request that did not fit.
    std::uint64_t rejected_index = 0;
    /// If not: the index from which the leader should send again.
    std::uint64_t retry_index = 0;

    friend bool operator==(append_reply const&, append_reply const&) = default;
};

} // namespace bilberrylead::agreement

#endif
