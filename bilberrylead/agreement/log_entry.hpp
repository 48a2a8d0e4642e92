#ifndef BILBERRYLEAD_AGREEMENT_LOG_ENTRY_HPP
#define BILBERRYLEAD_AGREEMENT_LOG_ENTRY_HPP

#include "bilberrylead/agreement/entry_kind.hpp"
#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// One entry of the replicated log, uniquely identified by term and index.
struct log_entry
{
    /// Term of the leader that created it, from 1.
    std::uint64_t term = 0;
    /// Position in the log, from 1.
    std::uint64_t index = 0;
    /// Determines how the payload is interpreted.
    entry_kind kind = entry_kind::no_op;
    /// The state machine's command, or an encoded membership.
    bytes payload;

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

} // namespace bilberrylead::agreement

#endif
