#ifndef BILBERRYLEAD_STORE_JOURNAL_SETTINGS_HPP
#define BILBERRYLEAD_STORE_JOURNAL_SETTINGS_HPP

#include <cstddef>

namespace bilberrylead::store
{

/// Limits of the journal.
struct journal_settings
{
    /// Largest accepted record, bytes, over 0. A configuration is sent as one
    /// record; a larger one would also delay every heartbeat.
    std::size_t max_record_bytes = std::size_t{64} << 20U;
};

} // namespace bilberrylead::store

#endif
