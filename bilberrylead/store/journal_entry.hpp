#ifndef BILBERRYLEAD_STORE_JOURNAL_ENTRY_HPP
#define BILBERRYLEAD_STORE_JOURNAL_ENTRY_HPP

#include "bilberrylead/core/bytes.hpp"

#include <cstdint>

namespace bilberrylead::store
{

/// Content stored under an index: a record of the log, or the snapshot of all
/// records up to and including that index.
struct journal_entry
{
    /// Position in the log, from 1.
    std::uint64_t index = 0;
    /// Content, opaque to the journal.
    bytes content;

    friend bool operator==(journal_entry const&,
                           journal_entry const&) = default;
};

} // namespace bilberrylead::store

#endif
