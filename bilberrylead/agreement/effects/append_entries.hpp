#ifndef BILBERRYLEAD_AGREEMENT_EFFECTS_APPEND_ENTRIES_HPP
#define BILBERRYLEAD_AGREEMENT_EFFECTS_APPEND_ENTRIES_HPP

#include "bilberrylead/agreement/log_entry.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// Write entries to the log; durable with the next sync. Entries in the log at
/// or after from_index are removed first.
struct append_entries
{
    /// Index of the first entry.
    std::uint64_t from_index = 0;
    /// Consecutive entries from from_index on; never empty.
    std::vector<log_entry> entries;
};

} // namespace bilberrylead::agreement

#endif
