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
        journal original = open_journal(folder);
        cr_assert(original.set_state(to_bytes("term 3")).ok());
        append_and_sync(original, 1, 5);
        cr_assert(original.set_state(to_bytes("term 4")).ok());
        append_and_sync(original, 6, 7);
    }
    journal reopened = open_journal(folder);
    cr_assert(reopened.recovered().entries == make_entries(1, 7));
    cr_assert(reopened.recovered().state == to_bytes("term 4"));
    cr_assert_eq(reopened.last_index(), 7);
    append_and_sync(reopened, 8, 8);
}

Test(journal, unsynced_records_when_reopened_are_gone)
{
    temporary_folder const folder;
    {
        journal original = open_journal(folder);
        append_and_sync(original, 1, 2);
        cr_assert(original.append(3, record_content(3)).ok());
    }
    journal reopened = open_journal(folder);
    cr_assert(reopened.recovered().entries == make_entries(1, 2));
}

Test(journal, record_before_the_last_when_appended_drops_those_after)
{
    temporary_folder const folder;
    {
        journal original = open_journal(folder);
        append_and_sync(original, 1, 9);
        cr_assert(original.append(4, to_bytes("other")).ok());
        cr_assert_eq(original.last_index(), 4);
        cr_assert(original.sync().ok());
    }
    journal reopened = open_journal(folder);
    cr_assert_eq(reopened.recovered().entries.size(), 4);
    cr_assert(reopened.recovered().entries.back().content == to_bytes("other"));
}

Test(journal, records_after_an_index_when_dropped_stay_gone)
{
    temporary_folder const folder;
    {
        journal original = open_journal(folder);
        append_and_sync(original, 1, 9);
        cr_assert(original.truncate_after(2).ok());
        cr_assert(original.sync().ok());
    }
    journal reopened = open_journal(folder);
    cr_assert(reopened.recovered().entries == make_entries(1, 2));
}

Test(journal, gap_covered_and_oversized_records_when_appended_are_refused)
{
    temporary_folder const folder;
    absl::StatusOr<journal> opened =
        journal::open(folder.data(), {.max_record_bytes = 100});
    cr_assert(opened.ok());
    append_and_sync(*opened, 1, 3);
    cr_assert(opened->install_snapshot(2, to_bytes("to 2")).ok());
    cr_assert(kind_of(opened->append(5, {})) == error_kind::bad_value);
    cr_assert(kind_of(opened->append(2, {})) == error_kind::bad_value);
    cr_assert(kind_of(opened->append(4, bytes(101))) == error_kind::bad_value);
    cr_assert(kind_of(opened->truncate_after(1)) == error_kind::bad_value);
    cr_assert(kind_of(opened->install_snapshot(2, {})) ==
              error_kind::bad_value);
    append_and_sync(*opened, 4, 4);
}

Test(journal, snapshot_when_installed_replaces_the_records_it_covers)
{
    temporary_folder const folder;
    {
        journal original = open_journal(folder);
        cr_assert(original.set_state(to_bytes("term 1")).ok());
        append_and_sync(original, 1, 9);
        std::uint64_t const before = original.file_bytes();
        cr_assert(original.install_snapshot(6, to_bytes("to 6")).ok());
        cr_assert_lt(original.file_bytes(), before);
        append_and_sync(original, 10, 10);
    }
    journal reopened = open_journal(folder);
    cr_assert_eq(reopened.recovered().snapshot->index, 6);
    cr_assert(reopened.recovered().snapshot->content == to_bytes("to 6"));
    cr_assert(reopened.recovered().entries == make_entries(7, 10));
    cr_assert(reopened.recovered().state == to_bytes("term 1"));
}

Test(journal, snapshot_beyond_the_last_record_when_installed_moves_the_end)
{
    temporary_folder const folder;
    {
        journal original = open_journal(folder);
        append_and_sync(original, 1, 3);
        cr_assert(original.install_snapshot(500, to_bytes("to 500")).ok());
        cr_assert_eq(original.last_index(), 500);
        append_and_sync(original, 501, 501);
    }
    journal reopened = open_journal(folder);
    cr_assert(reopened.recovered().entries == make_entries(501, 501));
}

Test(journal, folder_in_use_when_opened_again_is_refused_with_the_remedy)
{
    temporary_folder const folder;
    journal const original = open_journal(folder);
    absl::StatusOr<journal> const second = journal::open(folder.data());
    cr_assert(kind_of(second.status()) == error_kind::storage);
    cr_assert(std::string(second.status().message()).find("Stop it") !=
              std::string::npos);
}

Test(journal, lost_folder_when_opened_has_a_new_incarnation)
{
    temporary_folder const folder;
    std::uint64_t const original = open_journal(folder).incarnation();
    cr_assert_neq(original, 0);
    cr_assert_eq(open_journal(folder).incarnation(), original);
    std::filesystem::remove_all(folder.data());
    cr_assert_neq(open_journal(folder).incarnation(), original);
}
