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

/// A journal of two batches that a crash left, before anybody read it.
struct crashed_journal
{
    temporary_folder folder;
    bytes content;
    /// Where the first batch starts.
    std::size_t first_batch_offset = 0;
    /// Where the second batch starts.
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

    /// Leaves `damaged` as what the disk holds.
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

/// Leaves a folder with four records, the first of them in a snapshot.
void create_journal_with_snapshot(temporary_folder const& folder,
                                  std::uint64_t covered)
{
    journal written = open_journal(folder);
    append_and_sync(written, 1, 4);
    cr_assert(written.install_snapshot(covered, to_bytes("snapshot")).ok());
}

/// Removes a file or flips a bit of it.
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

// The power fails while the second batch is written and not yet synced; the
// disk keeps its first bytes. Nobody was told that it is durable. After the
// restart the first batch is there whole, of the second nothing or all, and
// the journal goes on from there.
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
// which read as zeros. The batch counts as unfinished although its end and
// the file's length are right.
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

// A sector of an acknowledged batch goes bad. Cut there, the host would
// come back having forgotten what it acknowledged, and a quorum that counts
// on it could lose an accepted change. It must not start.
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

// A page in the middle is lost: the rest moves up, or reads as zeros.
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

// A whole batch vanishes that held nothing but a vote: the records around it
// fit together. Started without it, the host would vote twice in a term.
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

// The process dies while it writes a snapshot. The half-written file never
// counted; it goes away and the records are all there.
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

// The process dies after the snapshot was renamed and before the journal
// dropped what it covers. Covered records are skipped, later ones stay.
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

// A follower gets a snapshot from the leader that its own records after it
// contradict. It drops them first. Whether it dies before the snapshot or
// between snapshot and journal, none of them stands behind the snapshot: the
// host would vote by their older term.
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

// Files vanish or are damaged one by one under a host that had records.
// Started anyway, it would vote a second time as its former self.
Test(journal, each_file_when_lost_or_damaged_is_refused)
{
    for (char const* name : {"journal", "snapshot", "identity"})
    {
        for (bool const removed : {true, false})
        {
            // Once with a record after the snapshot and once with none,
            // where no gap tells that the snapshot is missing.
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

// The first start dies between the journal and the identity: there was
// nothing to lose, the next start makes the identity.
Test(journal, first_start_when_crashed_before_the_identity_creates_it)
{
    temporary_folder const folder;
    static_cast<void>(open_journal(folder));
    std::filesystem::remove(folder.file("identity"));
    cr_assert_neq(open_journal(folder).incarnation(), 0);
}
