#ifndef BILBERRYLEAD_STORE_JOURNAL_HPP
#define BILBERRYLEAD_STORE_JOURNAL_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/store/durable_file.hpp"
#include "bilberrylead/store/file_descriptor.hpp"
#include "bilberrylead/store/journal_batch.hpp"
#include "bilberrylead/store/journal_settings.hpp"
#include "bilberrylead/store/recovered_state.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>

namespace bilberrylead::store
{

/// The durable log of one host: records with an index, a small state blob
/// and one snapshot, in one data folder that it locks. Nothing is durable
/// before sync() said so. Used by one thread.
///
/// A write or sync that fails ends it: every later call is refused with
/// error_kind::storage, and only a restart, which reads back what the disk
/// really holds, brings it back.
class journal
{
public:
    /// Opens the folder, makes it if it isn't there, and recovers its
    /// content: an unfinished last write is cut off, other damage is
    /// refused with the remedy. What is recovered is written anew and
    /// synced, since it may come from pages that an earlier process failed
    /// to sync.
    static absl::StatusOr<journal> open(std::filesystem::path const& folder,
                                        journal_settings const& settings = {});

    /// What open() found. The caller may move it out.
    recovered_state& recovered();

    /// Random number given to the folder when it was made. A host whose
    /// disk was lost comes back with another one and isn't its former self.
    std::uint64_t incarnation() const;

    /// Adds a record. One at or before the last index first drops the
    /// records from that index on. A gap, an index covered by the snapshot
    /// and an oversized record are refused.
    absl::Status append(std::uint64_t index,
                        std::span<std::uint8_t const> content);
    /// Drops all records after `index`.
    absl::Status truncate_after(std::uint64_t index);
    /// Replaces the state blob.
    absl::Status set_state(std::span<std::uint8_t const> state);
    /// Makes everything since the last sync durable, with one write and one
    /// fdatasync. On an error none of it counts.
    absl::Status sync();

    /// Replaces the snapshot by one of all records up to `index` and drops
    /// those; records after it stay. Syncs everything. Where they don't
    /// belong to the snapshot's history, call drop_after(index) first: the
    /// other way round a crash in between leaves them behind the snapshot,
    /// where their older term lets the host vote for a candidate that lacks
    /// what the snapshot holds. An error that leaves the old snapshot in place,
    /// such as a full disk, doesn't end the journal: see has_failed().
    absl::Status install_snapshot(std::uint64_t index,
                                  std::span<std::uint8_t const> content);

    /// Index of the last record, or of the snapshot if none follows it; 0
    /// if there is neither.
    std::uint64_t last_index() const;
    /// Index of the snapshot, 0 if there is none.
    std::uint64_t snapshot_index() const;
    /// Bytes of the journal file, a measure for when to take a snapshot.
    std::uint64_t file_bytes() const;
    /// True once the journal refuses everything.
    bool has_failed() const;

private:
    journal(std::filesystem::path data_folder,
            journal_settings const& initial_settings);
    absl::Status recover();
    absl::Status recover_identity(bool has_journal, bool has_records);
    absl::Status rewrite(recovered_state const& content);
    absl::Status check_usable() const;

    std::filesystem::path folder;
    journal_settings settings;
    file_descriptor lock;
    durable_file<> file;
    journal_batch pending;
    recovered_state recovered_content;
    std::uint64_t incarnation_number = 0;
    std::uint64_t salt = 0;
    std::uint64_t batch_count = 0;
    std::uint64_t written_bytes = 0;
    std::uint64_t last_record_index = 0;
    std::uint64_t base_index = 0;
    bool failed = false;
};

} // namespace bilberrylead::store

#endif
