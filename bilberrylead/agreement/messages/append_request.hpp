#ifndef BILBERRYLEAD_AGREEMENT_MESSAGES_APPEND_REQUEST_HPP
#define BILBERRYLEAD_AGREEMENT_MESSAGES_APPEND_REQUEST_HPP

#include "bilberrylead/agreement/log_entry.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// Entries from the leader; without any it is a heartbeat.
struct append_request
{
    /// Number of the leader's send, echoed in the reply: it tells the
    /// leader when the message that was answered had been sent.
    std::uint64_t round = 0;
    /// Index of the entry just before the first one here.
    std::uint64_t previous_index = 0;
    /// Term of that entry.
    std::uint64_t previous_term = 0;
    /// Highest index the leader knows to be committed.
    std::uint64_t commit_index = 0;
    /// Consecutive entries from previous_index + 1.
    std::vector<log_entry> entries;

    friend bool operator==(append_request const&,
                           append_request const&) = default;
};

} // namespace bilberrylead::agreement

#endif
