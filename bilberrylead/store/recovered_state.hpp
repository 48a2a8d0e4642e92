#ifndef BILBERRYLEAD_STORE_RECOVERED_STATE_HPP
#define BILBERRYLEAD_STORE_RECOVERED_STATE_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/store/journal_entry.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::store
{

/// Content of a data folder when it was opened.
struct recovered_state
{
    /// The latest snapshot, if one was installed.
    std::optional<journal_entry> snapshot;
    /// The latest state blob (term and vote, for example), if one was set.
    std::optional<bytes> state;
    /// Records after the snapshot, with consecutive indices.
    std::vector<journal_entry> entries;
    /// Bytes of an incomplete last write that were discarded.
    std::uint64_t discarded_bytes = 0;
};

} // namespace bilberrylead::store

#endif
