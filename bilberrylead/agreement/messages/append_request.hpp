#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_APPEND_REQUEST_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_APPEND_REQUEST_HPP

#include "bilberrylead/agreement/log_entry.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// Log entries from the leader; a heartbeat if there are none.
struct append_request
{
    /// Number of the leader's send round, echoed in the reply: it tells the
    /// leader when the acknowledged message was sent.
    std::uint64_t round = 0;
    /// Index of the entry just before the first one in this message.
    std::uint64_t previous_index = 0;
    /// Term of that entry.
    std::uint64_t previous_term = 0;
    /// Highest index that the leader reports as committed.
    std::uint64_t commit_index = 0;
    /// Consecutive entries from previous_index + 1.
    std::vector<log_entry> entries;

    friend bool operator==(append_request const&,
                           append_request const&) = default;
};

} // namespace bilberrylead::agreement

#endif
