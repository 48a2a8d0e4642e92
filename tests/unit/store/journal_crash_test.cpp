#include "bilberrylead/store/journal.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/store/checksummed_file.hpp"
#include "bilberrylead/store/folder_files.hpp"
#include "tests/unit/store/journal_fixture.hpp"

#include <criterion/criterion.h>

#include <filesystem>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::tests;
using bilberrylead::store::journal;

namespace
{

/// A journal of two batches as left by a crash, before recovery.
struct crashed_journal
{
    temporary_folder folder;
    bytes content;
    std::size_t first_batch_offset = 0;
    std::size_t second_batch_offset = 0;

    crashed_journal()
    {
        journal written = open_journal(this->folder);
        this->first_batch_offset = written.file_bytes();
        append_and_sync(written, 1, 3);
        this->second_batch_offset = written.file_bytes();
        append_and_sync(written, 4, 6);
        this->content = read_all(this->folder.file("journal"));
        cr_assert_eq(this->content.size(), written.file_bytes());
    }

    /// Replaces the journal file by `damaged`.
    void write_journal(bytes const& damaged) const
    {
        write_all(this->folder.file("journal"), damaged);
    }

    bool reports_corruption() const
    {
        return kind_of(journal::open(this->folder.data()).status()) ==
               error_kind::corrupt;
    }
};

/// Writes four records, the first `covered` of them in a snapshot.
void create_journal_with_snapshot(temporary_folder const& folder,
                                  std::uint64_t covered)
{
    journal written = open_journal(folder);
    append_and_sync(written, 1, 4);
    cr_assert(written.install_snapshot(covered, to_bytes("snapshot")).ok());
}

/// Removes the file if `removed`, else flips one bit of it.
void remove_or_corrupt(std::filesystem::path const& path, bool removed)
{
    if (removed)
    {
        std::filesystem::remove(path);
        return;
    }
    bytes damaged = read_all(path);
    damaged.at(10) ^= 1U;
    write_all(path, damaged);
}

} // namespace

// Power fails while the second batch is written and not yet synced, and the
// disk keeps only its first bytes. The batch was never acknowledged. After the
// restart the first batch is complete, the second is either complete or
// absent, and the journal accepts further records.
Test(journal, last_batch_when_torn_at_any_byte_recovers_to_the_one_before)
{
    crashed_journal const crashed;
    for (std::size_t size = crashed.second_batch_offset;
         size <= crashed.content.size(); ++size)
    {
        crashed.write_journal(
            {crashed.content.begin(),
             crashed.content.begin() + static_cast<std::ptrdiff_t>(size)});
        std::uint64_t const last = size == crashed.content.size() ? 6 : 3;
        {
            journal recovered = open_journal(crashed.folder);
            cr_assert(recovered.recovered().entries == make_entries(1, last));
            append_and_sync(recovered, last + 1, last + 1);
        }
        cr_assert(open_journal(crashed.folder).recovered().entries ==
                  make_entries(1, last + 1));
    }
}

// The disk keeps later pages of the unsynced batch and loses earlier ones,
// which read as zeros. The batch must be treated as incomplete although its
// end and the file's length are right.
Test(journal, last_batch_when_any_byte_of_it_is_lost_recovers_before_it)
{
    crashed_journal const crashed;
    for (std::size_t position = crashed.second_batch_offset;
         position < crashed.content.size(); ++position)
    {
        bytes damaged = crashed.content;
        damaged.at(position) ^= 0xFFU;
        crashed.write_journal(damaged);
        journal recovered = open_journal(crashed.folder);
        cr_assert(recovered.recovered().entries == make_entries(1, 3),
                  "byte %zu", position);
    }
}

// A sector of an acknowledged batch becomes unreadable. If the journal were
// truncated there, the host would restart without records that it
// acknowledged, and a quorum that counts on it could lose an accepted change.
// The host must not start.
Test(journal, middle_when_any_byte_is_damaged_is_refused)
{
    crashed_journal const crashed;
    for (std::size_t position = 0; position < crashed.second_batch_offset;
         ++position)
    {
        bytes damaged = crashed.content;
        damaged.at(position) ^= 0x10U;
        crashed.write_journal(damaged);
        cr_assert(crashed.reports_corruption(), "byte %zu", position);
    }
}

// A batch in the middle is lost: the bytes after it move forward in the file,
// or its own bytes read as zeros.
Test(journal, middle_when_cut_out_or_zeroed_is_refused)
{
    crashed_journal const crashed;
    bytes shortened = crashed.content;
    shortened.erase(shortened.begin() +
                        static_cast<std::ptrdiff_t>(crashed.first_batch_offset),
                    shortened.begin() + static_cast<std::ptrdiff_t>(
                                            crashed.second_batch_offset));
    crashed.write_journal(shortened);
    cr_assert(crashed.reports_corruption());

    bytes zeroed = crashed.content;
    std::fill(zeroed.begin() +
                  static_cast<std::ptrdiff_t>(crashed.first_batch_offset),
              zeroed.begin() +
                  static_cast<std::ptrdiff_t>(crashed.second_batch_offset),
              std::uint8_t{0});
    crashed.write_journal(zeroed);
    cr_assert(crashed.reports_corruption());
}

// A complete batch that contains only a vote is lost. The indices of the
// records around it are consecutive, so they show no gap. If the host started
// without the batch, it could vote twice in a term.
Test(journal, vote_between_records_when_cut_out_is_refused)
{
    temporary_folder const folder;
    std::size_t start = 0;
    std::size_t end = 0;
    {
        journal written = open_journal(folder);
        append_and_sync(written, 1, 3);
        start = written.file_bytes();
        cr_assert(written.set_state(to_bytes("voted for a")).ok());
        cr_assert(written.sync().ok());
        end = written.file_bytes();
        append_and_sync(written, 4, 4);
    }
    bytes content = read_all(folder.file("journal"));
    content.erase(content.begin() + static_cast<std::ptrdiff_t>(start),
                  content.begin() + static_cast<std::ptrdiff_t>(end));
    write_all(folder.file("journal"), content);
    cr_assert(kind_of(journal::open(folder.data()).status()) ==
              error_kind::corrupt);
}

// The process crashes while it writes a snapshot. The incomplete temporary
// file was never part of the content: it is removed, and all records remain.
Test(journal, unfinished_snapshot_when_opened_is_dropped)
{
    temporary_folder const folder;
    {
        journal written = open_journal(folder);
        append_and_sync(written, 1, 4);
    }
    write_all(folder.file("snapshot.tmp"), to_bytes("half a snap"));
    write_all(folder.file("journal.tmp"), to_bytes("half a journal"));
    journal recovered = open_journal(folder);
    cr_assert_not(recovered.recovered().snapshot.has_value());
    cr_assert(recovered.recovered().entries == make_entries(1, 4));
    cr_assert_not(std::filesystem::exists(folder.file("snapshot.tmp")));
    cr_assert_not(std::filesystem::exists(folder.file("journal.tmp")));
}

// The process crashes after the snapshot was renamed and before the records
// that it covers were removed from the journal. Recovery skips the covered
// records and keeps the later ones.
Test(journal, snapshot_without_truncated_journal_when_opened_reads_both)
{
    temporary_folder const folder;
    {
        journal written = open_journal(folder);
        append_and_sync(written, 1, 6);
    }
    write_all(folder.file("snapshot"),
              store::encode_checksummed_file(store::file_purpose::snapshot, 4,
                                             to_bytes("to 4")));
    journal recovered = open_journal(folder);
    cr_assert_eq(recovered.recovered().snapshot->index, 4);
    cr_assert(recovered.recovered().entries == make_entries(5, 6));
    cr_assert_eq(recovered.snapshot_index(), 4);
}

// A follower receives a snapshot from the leader that conflicts with the
// follower's later records, and drops those records first. Whether it crashes
// before the snapshot is written or between snapshot and journal, none of them
// may follow the snapshot: the host would use their older term when it votes.
Test(journal, records_dropped_before_a_snapshot_when_crashed_stay_gone)
{
    temporary_folder const folder;
    bytes dropped;
    {
        journal written = open_journal(folder);
        append_and_sync(written, 1, 9);
        cr_assert(written.truncate_after(6).ok());
        cr_assert(written.sync().ok());
        dropped = read_all(folder.file("journal"));
        cr_assert(written.install_snapshot(6, to_bytes("to 6")).ok());
    }
    write_all(folder.file("journal"), dropped);
    {
        journal recovered = open_journal(folder);
        cr_assert_eq(recovered.recovered().snapshot->index, 6);
        cr_assert(recovered.recovered().entries.empty());
    }
    write_all(folder.file("journal"), dropped);
    std::filesystem::remove(folder.file("snapshot"));
    cr_assert(open_journal(folder).recovered().entries == make_entries(1, 6));
}

// Each file in turn is lost or damaged on a host that had records. If the host
// started anyway, it could vote a second time under its previous incarnation.
Test(journal, each_file_when_lost_or_damaged_is_refused)
{
    for (char const* name : {"journal", "snapshot", "identity"})
    {
        for (bool const removed : {true, false})
        {
            // With a record after the snapshot, and without one: then no gap
            // shows that the snapshot is missing.
            for (std::uint64_t const covered : {3U, 4U})
            {
                temporary_folder const folder;
                create_journal_with_snapshot(folder, covered);
                remove_or_corrupt(folder.file(name), removed);
                absl::StatusOr<journal> const opened =
                    journal::open(folder.data());
                cr_assert(kind_of(opened.status()) == error_kind::corrupt,
                          "%s removed %d covered %d", name,
                          static_cast<int>(removed), static_cast<int>(covered));
                cr_assert(std::string(opened.status().message())
                              .find("rejoin empty") != std::string::npos);
            }
        }
    }
}

// The first start crashes after the journal was created and before the
// identity was. No data can be lost yet, so the next start creates the
// identity.
Test(journal, first_start_when_crashed_before_the_identity_creates_it)
{
    temporary_folder const folder;
    static_cast<void>(open_journal(folder));
    std::filesystem::remove(folder.file("identity"));
    cr_assert_neq(open_journal(folder).incarnation(), 0);
}
