#ifndef BILBERRYLEAD_STORE_JOURNAL_SETTINGS_HPP
#define BILBERRYLEAD_STORE_JOURNAL_SETTINGS_HPP

#include <cstddef>

namespace bilberrylead::store
{

/// Bounds of the journal.
struct journal_settings
{
    /// Largest record that is taken, bytes, over 0. A configuration travels
    /// as one record; one above this would also stall every heartbeat.
    std::size_t max_record_bytes = std::size_t{64} << 20U;
};

} // namespace bilberrylead::store

#endif
