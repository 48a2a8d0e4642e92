#include "bilberrylead/daemon/control_store.hpp"

#include "bilberrylead/core/error.hpp"
#include "tests/unit/store/journal_fixture.hpp"

#include <criterion/criterion.h>
#include <sys/resource.h>

#include <csignal>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::tests;
using bilberrylead::daemon::control_store;

namespace
{

control_store open_store(temporary_folder const& folder)
{
    absl::StatusOr<control_store> opened = control_store::open(folder.data());
    cr_assert(opened.ok(), "%s",
              std::string(opened.status().message()).c_str());
    return *std::move(opened);
}

/// The entries `first` to `last` as a leader of `term` made them.
agreement::append_entries
entries_of_term(std::uint64_t term, std::uint64_t first, std::uint64_t last)
{
    agreement::append_entries effect;
    effect.from_index = first;
    for (std::uint64_t index = first; index <= last; ++index)
    {
        effect.entries.push_back({term, index, agreement::entry_kind::command,
                                  record_content(index)});
    }
    return effect;
}

agreement::snapshot snapshot_of(std::uint64_t last_index,
                                std::uint64_t last_term)
{
    agreement::member const voter{host_id("c1"), 1, true, false};
    return {last_index, last_term, {{voter}}, to_bytes("state")};
}

template <class Effect>
void carry_out(control_store& store, Effect const& effect)
{
    absl::Status const done = store.carry_out(effect);
    cr_assert(done.ok(), "%s", std::string(done.message()).c_str());
}

/// Lets this test's process write files of at most `size` bytes.
void limit_file_size(rlim_t size)
{
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    ::getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = size;
    cr_assert_eq(::setrlimit(RLIMIT_FSIZE, &limit), 0);
}

} // namespace

Test(control_store, synced_writes_when_reopened_are_all_there)
{
    temporary_folder const folder;
    agreement::hard_state const voted{7, host_id("c2")};
    {
        control_store store = open_store(folder);
        carry_out(store, agreement::persist_hard_state{voted});
        carry_out(store, entries_of_term(6, 1, 5));
        carry_out(store, agreement::sync{});
        carry_out(store, agreement::persist_snapshot{snapshot_of(3, 6)});
        carry_out(store, agreement::sync{});
    }
    control_store reopened = open_store(folder);
    agreement::started const& found = reopened.recovered();
    cr_assert(found.hard_state == voted);
    cr_assert(found.snapshot == snapshot_of(3, 6));
    cr_assert(found.entries == entries_of_term(6, 4, 5).entries);
}

Test(control_store, founder_when_reopened_keeps_its_incarnation)
{
    temporary_folder const folder;
    {
        control_store store = open_store(folder);
        cr_assert_gt(store.incarnation(), 1U);
        cr_assert(store.become_founder().ok());
        carry_out(store, agreement::persist_hard_state{{2, host_id("c1")}});
        carry_out(store, agreement::sync{});
    }
    cr_assert_eq(open_store(folder).incarnation(), 1U);
}

Test(control_store, blank_folder_when_reopened_keeps_its_incarnation)
{
    temporary_folder const folder;
    std::uint64_t const drawn = open_store(folder).incarnation();
    cr_assert_eq(open_store(folder).incarnation(), drawn);
}

// A follower with entries 1 to 6 of term 2 gets the snapshot 4 of term 5,
// which contradicts them, and its process ends before the sync that comes
// next. Entries 5 and 6 of term 2 behind that snapshot would let it help a
// candidate into office that lacks what the quorum accepted.
Test(control_store, contradicted_entries_when_process_ends_before_sync_are_gone)
{
    temporary_folder const folder;
    {
        control_store store = open_store(folder);
        carry_out(store, entries_of_term(2, 1, 6));
        carry_out(store, agreement::sync{});
        carry_out(store, agreement::persist_snapshot{snapshot_of(4, 5), true});
    }
    control_store reopened = open_store(folder);
    cr_assert(reopened.recovered().snapshot == snapshot_of(4, 5));
    cr_assert(reopened.recovered().entries.empty());
}

// The disk goes bad under an entry that was acknowledged. The host must not
// start as if it had never held it: the quorum counts on its copy. It names
// the damage and the way out instead.
Test(control_store, middle_when_damaged_is_refused_with_the_remedy)
{
    temporary_folder const folder;
    std::uint64_t first_batch_end = 0;
    {
        control_store store = open_store(folder);
        carry_out(store, entries_of_term(1, 1, 3));
        carry_out(store, agreement::sync{});
        first_batch_end = store.journal_bytes();
        carry_out(store, entries_of_term(1, 4, 6));
        carry_out(store, agreement::sync{});
    }
    bytes damaged = read_all(folder.file("journal"));
    damaged.at(first_batch_end - 10) ^= 0x10U;
    write_all(folder.file("journal"), damaged);
    absl::Status const refused = control_store::open(folder.data()).status();
    cr_assert(kind_of(refused) == error_kind::corrupt);
    std::string const message(refused.message());
    cr_assert(message.find("join") != std::string::npos, "%s", message.c_str());
}

// The disk fills up while entries are written. The host hears that they are
// not durable and so acknowledges nothing of them; after the restart, with
// room again, all that was synced before is there.
Test(control_store, sync_when_disk_is_full_is_a_storage_error)
{
    temporary_folder const folder;
    {
        control_store store = open_store(folder);
        carry_out(store, entries_of_term(1, 1, 3));
        carry_out(store, agreement::sync{});
        limit_file_size(store.journal_bytes() + 20);
        absl::Status full = store.carry_out(entries_of_term(1, 4, 6));
        if (full.ok())
        {
            full = store.carry_out(agreement::sync{});
        }
        cr_assert(kind_of(full) == error_kind::storage);
        limit_file_size(RLIM_INFINITY);
        cr_assert(kind_of(store.carry_out(agreement::sync{})) ==
                  error_kind::storage);
    }
    cr_assert(open_store(folder).recovered().entries ==
              entries_of_term(1, 1, 3).entries);
}
