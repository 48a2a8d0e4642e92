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

/// Lets this test's process write files of at most `size` bytes.
void limit_file_size(rlim_t size)
{
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    ::getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = size;
    cr_assert_eq(::setrlimit(RLIMIT_FSIZE, &limit), 0);
}

/// A disk whose next sync fails, and whose syncs after that "succeed".
struct forgetful_disk
{
    static inline bool next_sync_fails = false;
    static inline std::size_t largest_write = 0;
    static inline std::size_t written = 0;

    static ssize_t write(int, std::span<std::uint8_t const> data)
    {
        std::size_t const taken = std::min(data.size(), largest_write);
        written += taken;
        return static_cast<ssize_t>(taken);
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

// The disk fills up in the middle of a batch. The sync says so, nothing of
// the batch counts, and nothing more is accepted, also once there is room:
// what the file holds is known only after it was read again.
Test(journal, full_disk_when_synced_refuses_until_restarted)
{
    temporary_folder const folder;
    {
        journal filling = open_journal(folder);
        append_synced(filling, 1, 3);
        limit_file_size(filling.file_bytes() + 20);
        cr_assert(filling.append(4, content_of(4)).ok());
        cr_assert(kind_of(filling.sync()) == error_kind::storage);
        cr_assert(filling.has_failed());

        limit_file_size(RLIM_INFINITY);
        cr_assert(kind_of(filling.sync()) == error_kind::storage);
        cr_assert(kind_of(filling.append(5, {})) == error_kind::storage);
        cr_assert(kind_of(filling.set_state({})) == error_kind::storage);
        cr_assert(kind_of(filling.install_snapshot(3, {})) ==
                  error_kind::storage);
    }
    journal again = open_journal(folder);
    cr_assert(again.recovered().entries == entries_of(1, 3));
    append_synced(again, 4, 4);
}

// There is no room for a snapshot. It leaves no trace, and the journal goes
// on with the records that the snapshot would have covered.
Test(journal, full_disk_when_a_snapshot_is_installed_keeps_the_records)
{
    temporary_folder const folder;
    {
        journal filling = open_journal(folder);
        append_synced(filling, 1, 3);
        limit_file_size(4096);
        cr_assert(kind_of(filling.install_snapshot(2, bytes(5000))) ==
                  error_kind::storage);
        cr_assert_not(filling.has_failed());
        append_synced(filling, 4, 4);
    }
    journal again = open_journal(folder);
    cr_assert_not(again.recovered().snapshot.has_value());
    cr_assert(again.recovered().entries == entries_of(1, 4));
}

// A sync fails; the kernel drops the pages and the next sync reports
// success. Believed, an accepted change would be gone after a power loss.
Test(durable_file, failed_sync_when_repeated_is_never_believed)
{
    forgetful_disk::largest_write = 100;
    durable_file<forgetful_disk> file(file_descriptor(), "journal");
    bytes const data(10);
    cr_assert(file.append(data).ok());
    forgetful_disk::next_sync_fails = true;
    cr_assert(kind_of(file.append(data)) == error_kind::storage);
    cr_assert(kind_of(file.append(data)) == error_kind::storage);
    cr_assert(file.has_failed());
    cr_assert_eq(forgetful_disk::written, 20);
}

Test(durable_file, short_writes_when_appended_are_continued)
{
    forgetful_disk::largest_write = 3;
    durable_file<forgetful_disk> file(file_descriptor(), "journal");
    cr_assert(file.append(bytes(10)).ok());
    cr_assert_eq(forgetful_disk::written, 10);
}
