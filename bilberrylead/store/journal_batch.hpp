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

/// The records that one sync makes durable, encoded as one frame of the
/// journal. A batch is written only after the previous one is durable, so
/// only the last batch can be incomplete after a crash; any of its pages may
/// then be missing.
class journal_batch
{
public:
    /// An empty batch.
    journal_batch();

    /// Type of a record, as stored.
    enum class record_kind : std::uint8_t
    {
        /// A log record; replaces the log records from its index on.
        entry = 1,
        /// The state blob; replaces the previous one.
        state = 2,
        /// Drops all log records after its index.
        truncate = 3,
    };

    /// Adds a record.
    void add(record_kind kind, std::uint64_t index,
             std::span<std::uint8_t const> content);
    /// True if the batch has no records.
    bool empty() const;
    /// Fills in the frame's header and returns the frame, valid until the next
    /// call. `salt` is that of the file, `sequence` the number of the batch
    /// within the file, from 1.
    std::span<std::uint8_t const> seal(std::uint64_t salt,
                                       std::uint64_t sequence);
    /// Removes all records.
    void clear();

private:
    bytes frame;
};

/// A decoded record. Its content refers to the scanned bytes, which must
/// outlive it.
struct journal_record
{
    journal_batch::record_kind kind = journal_batch::record_kind::entry;
    /// Position in the log; 0 for the state blob.
    std::uint64_t index = 0;
    /// Content; empty for a truncation.
    std::span<std::uint8_t const> content;
};

/// Result of scan_batches().
struct batch_scan
{
    /// Records of all complete batches, in order.
    std::vector<journal_record> records;
    /// Number of complete batches.
    std::uint64_t batch_count = 0;
    /// Bytes after the last complete batch, left by an incomplete write.
    std::uint64_t discarded_bytes = 0;
};

/// Reads the batches of a journal. An incomplete last batch is left out; a
/// damaged batch with durable data after it is error_kind::corrupt.
absl::StatusOr<batch_scan> scan_batches(std::uint64_t salt,
                                        std::span<std::uint8_t const> input);

} // namespace bilberrylead::store

#endif
