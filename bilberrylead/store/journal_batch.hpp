#ifndef BILBERRYLEAD_STORE_JOURNAL_BATCH_HPP
#define BILBERRYLEAD_STORE_JOURNAL_BATCH_HPP

#include "bilberrylead/core/bytes.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace bilberrylead::store
{

/// Everything that one sync makes durable, as one frame of the journal. A
/// batch is written only after the one before it is durable, so that only
/// the last can be unfinished after a crash; inside it the disk may have
/// kept any pages and lost any others.
class journal_batch
{
public:
    /// An empty batch.
    journal_batch();

    /// What a record says.
    enum class record_kind : std::uint8_t
    {
        /// A log record; drops those at its index and after.
        entry = 1,
        /// The state blob; replaces the one before.
        state = 2,
        /// Drops all log records after its index.
        truncate = 3,
    };

    /// Adds a record.
    void add(record_kind kind, std::uint64_t index,
             std::span<std::uint8_t const> content);
    /// True if nothing was added.
    bool empty() const;
    /// The frame's bytes; valid until the next call. `salt` is the file's,
    /// `sequence` the batch's number within it, from 1.
    std::span<std::uint8_t const> seal(std::uint64_t salt,
                                       std::uint64_t sequence);
    /// Removes everything.
    void clear();

private:
    bytes frame;
};

/// A record as it stands in the journal; its content belongs to the bytes
/// that were scanned.
struct journal_record
{
    /// What it says.
    journal_batch::record_kind kind = journal_batch::record_kind::entry;
    /// Its index.
    std::uint64_t index = 0;
    /// Its content.
    std::span<std::uint8_t const> content;
};

/// What scan_batches found.
struct batch_scan
{
    /// Records of all whole batches, in order.
    std::vector<journal_record> records;
    /// Batches they came from.
    std::uint64_t batch_count = 0;
    /// Bytes after the last whole batch: an unfinished write.
    std::uint64_t discarded_bytes = 0;
};

/// Reads the batches of a journal. An unfinished last batch is left out; a
/// damaged one with anything durable after it is an error.
absl::StatusOr<batch_scan> scan_batches(std::uint64_t salt,
                                        std::span<std::uint8_t const> input);

} // namespace bilberrylead::store

#endif
