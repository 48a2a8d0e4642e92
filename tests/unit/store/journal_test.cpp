#include "bilberrylead/store/journal.hpp"

#include "bilberrylead/core/error.hpp"
#include "tests/unit/store/journal_fixture.hpp"

#include <criterion/criterion.h>

#include <filesystem>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::tests;
using bilberrylead::store::journal;

Test(journal, synced_records_when_reopened_are_there)
{
    temporary_folder const folder;
    {
        journal first = open_journal(folder);
        cr_assert(first.set_state(to_bytes("term 3")).ok());
        append_synced(first, 1, 5);
        cr_assert(first.set_state(to_bytes("term 4")).ok());
        append_synced(first, 6, 7);
    }
    journal again = open_journal(folder);
    cr_assert(again.recovered().entries == entries_of(1, 7));
    cr_assert(again.recovered().state == to_bytes("term 4"));
    cr_assert_eq(again.last_index(), 7);
    append_synced(again, 8, 8);
}

Test(journal, unsynced_records_when_reopened_are_gone)
{
    temporary_folder const folder;
    {
        journal first = open_journal(folder);
        append_synced(first, 1, 2);
        cr_assert(first.append(3, content_of(3)).ok());
    }
    journal again = open_journal(folder);
    cr_assert(again.recovered().entries == entries_of(1, 2));
}

Test(journal, record_before_the_last_when_appended_drops_those_after)
{
    temporary_folder const folder;
    {
        journal first = open_journal(folder);
        append_synced(first, 1, 9);
        cr_assert(first.append(4, to_bytes("other")).ok());
        cr_assert_eq(first.last_index(), 4);
        cr_assert(first.sync().ok());
    }
    journal again = open_journal(folder);
    cr_assert_eq(again.recovered().entries.size(), 4);
    cr_assert(again.recovered().entries.back().content == to_bytes("other"));
}

Test(journal, records_after_an_index_when_dropped_stay_gone)
{
    temporary_folder const folder;
    {
        journal first = open_journal(folder);
        append_synced(first, 1, 9);
        cr_assert(first.drop_after(2).ok());
        cr_assert(first.sync().ok());
    }
    journal again = open_journal(folder);
    cr_assert(again.recovered().entries == entries_of(1, 2));
}

Test(journal, gap_covered_and_oversized_records_when_appended_are_refused)
{
    temporary_folder const folder;
    absl::StatusOr<journal> opened =
        journal::open(folder.data(), {.largest_record = 100});
    cr_assert(opened.ok());
    append_synced(*opened, 1, 3);
    cr_assert(opened->install_snapshot(2, to_bytes("to 2")).ok());
    cr_assert(kind_of(opened->append(5, {})) == error_kind::bad_value);
    cr_assert(kind_of(opened->append(2, {})) == error_kind::bad_value);
    cr_assert(kind_of(opened->append(4, bytes(101))) == error_kind::bad_value);
    cr_assert(kind_of(opened->drop_after(1)) == error_kind::bad_value);
    cr_assert(kind_of(opened->install_snapshot(2, {})) ==
              error_kind::bad_value);
    append_synced(*opened, 4, 4);
}

Test(journal, snapshot_when_installed_replaces_the_records_it_covers)
{
    temporary_folder const folder;
    {
        journal first = open_journal(folder);
        cr_assert(first.set_state(to_bytes("term 1")).ok());
        append_synced(first, 1, 9);
        std::uint64_t const before = first.file_bytes();
        cr_assert(first.install_snapshot(6, to_bytes("to 6")).ok());
        cr_assert_lt(first.file_bytes(), before);
        append_synced(first, 10, 10);
    }
    journal again = open_journal(folder);
    cr_assert_eq(again.recovered().snapshot->index, 6);
    cr_assert(again.recovered().snapshot->content == to_bytes("to 6"));
    cr_assert(again.recovered().entries == entries_of(7, 10));
    cr_assert(again.recovered().state == to_bytes("term 1"));
}

Test(journal, snapshot_beyond_the_last_record_when_installed_moves_the_end)
{
    temporary_folder const folder;
    {
        journal first = open_journal(folder);
        append_synced(first, 1, 3);
        cr_assert(first.install_snapshot(500, to_bytes("to 500")).ok());
        cr_assert_eq(first.last_index(), 500);
        append_synced(first, 501, 501);
    }
    journal again = open_journal(folder);
    cr_assert(again.recovered().entries == entries_of(501, 501));
}

Test(journal, folder_in_use_when_opened_again_is_refused_with_the_remedy)
{
    temporary_folder const folder;
    journal const first = open_journal(folder);
    absl::StatusOr<journal> const second = journal::open(folder.data());
    cr_assert(kind_of(second.status()) == error_kind::storage);
    cr_assert(std::string(second.status().message()).find("Stop it") !=
              std::string::npos);
}

Test(journal, lost_folder_when_opened_has_a_new_incarnation)
{
    temporary_folder const folder;
    std::uint64_t const first = open_journal(folder).incarnation();
    cr_assert_neq(first, 0);
    cr_assert_eq(open_journal(folder).incarnation(), first);
    std::filesystem::remove_all(folder.data());
    cr_assert_neq(open_journal(folder).incarnation(), first);
}
