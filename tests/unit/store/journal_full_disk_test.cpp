#include "bilberrylead/core/error.hpp"
#include "bilberrylead/store/durable_file.hpp"
#include "bilberrylead/store/journal.hpp"
#include "tests/unit/store/journal_fixture.hpp"

#include <criterion/criterion.h>
#include <sys/resource.h>

#include <cerrno>
#include <csignal>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::tests;
using bilberrylead::store::durable_file;
using bilberrylead::store::file_descriptor;
using bilberrylead::store::journal;

namespace
{

/// Limits the files that the process of this test writes to `size` bytes, to
/// simulate a full disk.
void limit_file_size(rlim_t size)
{
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    ::getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = size;
    cr_assert_eq(::setrlimit(RLIMIT_FSIZE, &limit), 0);
}

/// File calls whose next sync can be made to fail. Later syncs report success
/// again, as the kernel does after it dropped the pages.
struct failing_file_calls
{
    static inline bool next_sync_fails = false;
    static inline std::size_t max_write_bytes = 0;
    static inline std::size_t written = 0;

    static ssize_t write(int, std::span<std::uint8_t const> data)
    {
        std::size_t const accepted = std::min(data.size(), max_write_bytes);
        written += accepted;
        return static_cast<ssize_t>(accepted);
    }

    static int sync(int)
    {
        if (std::exchange(next_sync_fails, false))
        {
            errno = EIO;
            return -1;
        }
        return 0;
    }
};

} // namespace

// The disk fills up in the middle of a batch. The sync reports the error, no
// record of the batch is durable, and the journal refuses further changes even
// after disk space is freed: only reading the file again after a restart shows
// what it contains.
Test(journal, full_disk_when_synced_refuses_until_restarted)
{
    temporary_folder const folder;
    {
        journal original = open_journal(folder);
        append_and_sync(original, 1, 3);
        limit_file_size(original.file_bytes() + 20);
        cr_assert(original.append(4, record_content(4)).ok());
        cr_assert(kind_of(original.sync()) == error_kind::storage);
        cr_assert(original.has_failed());

        limit_file_size(RLIM_INFINITY);
        cr_assert(kind_of(original.sync()) == error_kind::storage);
        cr_assert(kind_of(original.append(5, {})) == error_kind::storage);
        cr_assert(kind_of(original.set_state({})) == error_kind::storage);
        cr_assert(kind_of(original.install_snapshot(3, {})) ==
                  error_kind::storage);
    }
    journal reopened = open_journal(folder);
    cr_assert(reopened.recovered().entries == make_entries(1, 3));
    append_and_sync(reopened, 4, 4);
}

// The disk is too full for a snapshot. No part of the snapshot remains, and
// the journal stays usable with the records that it would have covered.
Test(journal, full_disk_when_a_snapshot_is_installed_keeps_the_records)
{
    temporary_folder const folder;
    {
        journal original = open_journal(folder);
        append_and_sync(original, 1, 3);
        limit_file_size(4096);
        cr_assert(kind_of(original.install_snapshot(2, bytes(5000))) ==
                  error_kind::storage);
        cr_assert_not(original.has_failed());
        append_and_sync(original, 4, 4);
    }
    journal reopened = open_journal(folder);
    cr_assert_not(reopened.recovered().snapshot.has_value());
    cr_assert(reopened.recovered().entries == make_entries(1, 4));
}

// A sync fails, the kernel drops the pages and the next sync reports success.
// If that success were trusted, an accepted change would be lost at the next
// power failure.
Test(durable_file, failed_sync_when_next_sync_succeeds_stays_failed)
{
    failing_file_calls::max_write_bytes = 100;
    durable_file<failing_file_calls> file(file_descriptor(), "journal");
    bytes const data(10);
    cr_assert(file.append(data).ok());
    failing_file_calls::next_sync_fails = true;
    cr_assert(kind_of(file.append(data)) == error_kind::storage);
    cr_assert(kind_of(file.append(data)) == error_kind::storage);
    cr_assert(file.has_failed());
    cr_assert_eq(failing_file_calls::written, 20);
}

Test(durable_file, short_writes_when_appended_are_continued)
{
    failing_file_calls::max_write_bytes = 3;
    durable_file<failing_file_calls> file(file_descriptor(), "journal");
    cr_assert(file.append(bytes(10)).ok());
    cr_assert_eq(failing_file_calls::written, 10);
}
