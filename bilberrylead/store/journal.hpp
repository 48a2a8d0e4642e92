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

/// The durable log of one host: indexed records, a small state blob and one
/// snapshot, in a data folder that it locks. A change is durable only once
/// sync() has returned OK. Used by one thread.
///
/// After a failed write or sync every later change is refused with
/// error_kind::storage. Only a restart recovers from this, since it reads
/// back what the disk actually contains.
class journal
{
public:
    /// Opens the folder, creates it if it does not exist, and recovers its
    /// content. An incomplete last write is discarded; any other damage is
    /// refused with error_kind::corrupt and the remedy. The recovered content
    /// is rewritten and synced, since it may come from cached pages that an
    /// earlier process failed to sync.
    static absl::StatusOr<journal> open(std::filesystem::path const& folder,
                                        journal_settings const& settings = {});

    /// The content that open() recovered. The caller may move it out.
    recovered_state& recovered();

    /// Random number assigned to the folder when it was created, never 0. A
    /// host that lost its disk restarts with another incarnation, so that it
    /// is not mistaken for its previous one.
    std::uint64_t incarnation() const;

    /// Adds a record. If `index` is not after the last index, the records
    /// from `index` on are dropped first. A gap, an index covered by the
    /// snapshot and a record over journal_settings::max_record_bytes are
    /// refused with error_kind::bad_value.
    absl::Status append(std::uint64_t index,
                        std::span<std::uint8_t const> content);
    /// Drops all records after `index`; error_kind::bad_value if `index` is
    /// before the snapshot.
    absl::Status truncate_after(std::uint64_t index);
    /// Replaces the state blob.
    absl::Status set_state(std::span<std::uint8_t const> state);
    /// Makes all changes since the last sync durable as one batch, written
    /// and followed by one fdatasync. After an error none of them may be
    /// treated as durable.
    absl::Status sync();

    /// Replaces the snapshot by one that covers all records up to `index`,
    /// drops those records and keeps the later ones. Syncs everything. If the
    /// later records conflict with the snapshot, call truncate_after(index)
    /// first: in the opposite order, a crash between the two leaves them after
    /// the snapshot, where their older term lets the host vote for a candidate
    /// that lacks what the snapshot contains. After an error that leaves the
    /// old snapshot in place, such as a full disk, the journal stays usable:
    /// see has_failed().
    absl::Status install_snapshot(std::uint64_t index,
                                  std::span<std::uint8_t const> content);

    /// Index of the last record, or of the snapshot if no record follows it;
    /// 0 if there is neither.
    std::uint64_t last_index() const;
    /// Index of the snapshot, 0 if there is none.
    std::uint64_t snapshot_index() const;
    /// Size of the journal file, bytes; used to decide when to create a
    /// snapshot.
    std::uint64_t file_bytes() const;
    /// True once a failed write or sync has closed the journal for changes.
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
