#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_APPEND_REPLY_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_APPEND_REPLY_HPP

#include <cstdint>
#include <optional>

namespace bilberrylead::agreement
{

/// Reply to an append_request.
struct append_reply
{
    /// Round of the request.
    std::uint64_t round = 0;
    /// True if the sender's log durably matches the leader's up to match_index.
    bool success = false;
    /// On success: last index known to match the leader's log.
    std::uint64_t match_index = 0;
    /// On failure: previous_index of the rejected request.
    std::uint64_t rejected_index = 0;
    /// On failure: index from which the leader should send again.
    std::uint64_t retry_index = 0;
    /// On success: highest index that the sender knows to be committed; empty
    /// from versions that do not report it.
    std::optional<std::uint64_t> commit_index;

    friend bool operator==(append_reply const&, append_reply const&) = default;
};

} // namespace bilberrylead::agreement

#endif
