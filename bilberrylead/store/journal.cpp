#include "bilberrylead/store/journal.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/store/checked_file.hpp"
#include "bilberrylead/store/folder_files.hpp"
#include "bilberrylead/store/little_endian.hpp"
#include "bilberrylead/store/recovery.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <random>
#include <string>
#include <utility>

namespace bilberrylead::store
{

namespace
{

constexpr part_log log("store");
constexpr char const* identity_file_name = "identity";
constexpr char const* lock_file_name = "lock";

std::uint64_t random_number()
{
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> any(1);
    return any(source);
}

absl::Status refused(std::string const& what)
{
    return make_error(error_kind::bad_value, what,
                      "This is a fault of the program; report it.");
}

} // namespace

journal::journal(std::filesystem::path data_folder,
                 journal_settings const& bounds)
    : folder(std::move(data_folder)), settings(bounds)
{
    assert(bounds.largest_record > 0);
}

absl::StatusOr<journal> journal::open(std::filesystem::path const& folder,
                                      journal_settings const& settings)
{
    absl::Status made = make_folder(folder);
    if (!made.ok())
    {
        return made;
    }
    journal opened(folder, settings);
    absl::StatusOr<file_descriptor> lock = lock_file(folder / lock_file_name);
    if (!lock.ok())
    {
        return lock.status();
    }
    opened.lock = *std::move(lock);
    absl::Status recovered = opened.recover();
    if (!recovered.ok())
    {
        return recovered;
    }
    return opened;
}

absl::Status journal::recover()
{
    // Files that a crash left before their rename never counted.
    for (char const* name :
         {journal_file_name, snapshot_file_name, identity_file_name})
    {
        remove_unfinished(this->folder / name);
    }
    absl::StatusOr<folder_content> content = read_folder(this->folder);
    if (!content.ok())
    {
        return content.status();
    }
    this->found = std::move(content->state);
    bool const has_records = !this->found.entries.empty() ||
                             this->found.state.has_value() ||
                             this->found.snapshot.has_value();
    if (this->found.cut_bytes > 0)
    {
        log.warning("An unfinished write of {} bytes was cut off.",
                    this->found.cut_bytes);
    }
    if (content->has_journal)
    {
        absl::Status known = this->recover_identity(true, has_records);
        return known.ok() ? this->rewrite(this->found) : known;
    }
    // The journal comes before the identity: whoever has an identity had a
    // journal, and without it may have forgotten its votes.
    absl::Status known = this->recover_identity(false, has_records);
    if (!known.ok())
    {
        return known;
    }
    absl::Status written = this->rewrite(this->found);
    return written.ok() ? this->recover_identity(true, false) : written;
}

absl::Status journal::recover_identity(bool has_journal, bool has_records)
{
    std::filesystem::path const path = this->folder / identity_file_name;
    absl::StatusOr<std::optional<bytes>> const content = read_file(path);
    if (!content.ok())
    {
        return content.status();
    }
    char const* remedy =
        "Move the data folder away and let this host rejoin empty.";
    if (content->has_value())
    {
        std::optional<checked_file> const identity =
            decode_checked_file(file_purpose::identity, **content);
        if (!identity.has_value() || !has_journal)
        {
            return make_error(error_kind::corrupt,
                              identity.has_value()
                                  ? "The journal is missing."
                                  : "The identity of the folder is damaged.",
                              remedy);
        }
        this->incarnation_number = identity->number;
        return absl::OkStatus();
    }
    if (has_records)
    {
        return make_error(error_kind::corrupt,
                          "The identity of the folder is missing.", remedy);
    }
    if (!has_journal)
    {
        return absl::OkStatus();
    }
    this->incarnation_number = random_number();
    absl::Status written =
        replace_file(path, encode_checked_file(file_purpose::identity,
                                               this->incarnation_number, {}));
    return written.ok() ? sync_folder(this->folder) : written;
}

absl::Status journal::rewrite(recovered_state const& content)
{
    this->failed = true;
    this->base = content.snapshot.has_value() ? content.snapshot->index : 0;
    this->last =
        content.entries.empty() ? this->base : content.entries.back().index;
    this->salt = random_number();
    std::array<std::uint8_t, sizeof(this->salt)> salt_bytes{};
    put_number(std::span<std::uint8_t>(salt_bytes), this->salt);
    bytes output =
        encode_checked_file(file_purpose::journal, this->base, salt_bytes);

    journal_batch batch;
    if (content.state.has_value())
    {
        batch.add(journal_batch::record_kind::state, 0, *content.state);
    }
    for (journal_entry const& entry : content.entries)
    {
        batch.add(journal_batch::record_kind::entry, entry.index,
                  entry.content);
    }
    this->batches = batch.empty() ? 0 : 1;
    if (!batch.empty())
    {
        std::span<std::uint8_t const> const frame =
            batch.seal(this->salt, this->batches);
        output.insert(output.end(), frame.begin(), frame.end());
    }

    std::filesystem::path const path = this->folder / journal_file_name;
    absl::Status replaced = replace_file(path, output);
    if (!replaced.ok())
    {
        return replaced;
    }
    absl::Status synced = sync_folder(this->folder);
    if (!synced.ok())
    {
        return synced;
    }
    absl::StatusOr<file_descriptor> opened = open_to_append(path);
    if (!opened.ok())
    {
        return opened.status();
    }
    this->file = durable_file<>(*std::move(opened), path.string());
    this->written_bytes = output.size();
    this->failed = false;
    return absl::OkStatus();
}

absl::Status journal::usable() const
{
    if (!this->has_failed())
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::storage, "The journal failed before and is closed.",
        "Make room or replace the disk, then restart this process.");
}

absl::Status journal::append(std::uint64_t index,
                             std::span<std::uint8_t const> content)
{
    absl::Status state = this->usable();
    if (!state.ok())
    {
        return state;
    }
    if (index <= this->base || index > this->last + 1)
    {
        return refused(
            fmt::format("Record {} can't follow snapshot {} and record {}.",
                        index, this->base, this->last));
    }
    if (content.size() > this->settings.largest_record)
    {
        return make_error(error_kind::bad_value,
                          fmt::format("A record of {} bytes is larger than "
                                      "{}.",
                                      content.size(),
                                      this->settings.largest_record),
                          "Split the change.");
    }
    this->pending.add(journal_batch::record_kind::entry, index, content);
    this->last = index;
    return absl::OkStatus();
}

absl::Status journal::drop_after(std::uint64_t index)
{
    absl::Status state = this->usable();
    if (!state.ok())
    {
        return state;
    }
    if (index < this->base)
    {
        return refused(fmt::format("Record {} is covered by snapshot {}.",
                                   index, this->base));
    }
    this->pending.add(journal_batch::record_kind::cut, index, {});
    this->last = std::min(this->last, index);
    return absl::OkStatus();
}

absl::Status journal::set_state(std::span<std::uint8_t const> state)
{
    absl::Status may_write = this->usable();
    if (may_write.ok())
    {
        this->pending.add(journal_batch::record_kind::state, 0, state);
    }
    return may_write;
}

absl::Status journal::sync()
{
    absl::Status state = this->usable();
    if (!state.ok() || this->pending.empty())
    {
        return state;
    }
    std::span<std::uint8_t const> const frame =
        this->pending.seal(this->salt, this->batches + 1);
    absl::Status written = this->file.append(frame);
    if (written.ok())
    {
        ++this->batches;
        this->written_bytes += frame.size();
        this->pending.clear();
    }
    return written;
}

absl::Status journal::install_snapshot(std::uint64_t index,
                                       std::span<std::uint8_t const> content)
{
    absl::Status synced = this->sync();
    if (!synced.ok())
    {
        return synced;
    }
    if (index <= this->base)
    {
        return refused(fmt::format("Snapshot {} is not newer than {}.", index,
                                   this->base));
    }

    // Read back first: an unreadable journal must not lose its snapshot.
    absl::StatusOr<folder_content> held = read_folder(this->folder);
    if (!held.ok())
    {
        return held.status();
    }
    std::filesystem::path const path = this->folder / snapshot_file_name;
    absl::Status replaced = replace_file(
        path, encode_checked_file(file_purpose::snapshot, index, content));
    if (!replaced.ok())
    {
        return replaced;
    }

    // The snapshot must be durable before the records it covers are gone.
    this->failed = true;
    absl::Status renamed = sync_folder(this->folder);
    if (!renamed.ok())
    {
        return renamed;
    }
    recovered_state& kept = held->state;
    std::erase_if(kept.entries,
                  [index](journal_entry const& entry)
                  {
                      return entry.index <= index;
                  });
    kept.snapshot = journal_entry{index, {}};
    return this->rewrite(kept);
}

recovered_state& journal::recovered()
{
    return this->found;
}

std::uint64_t journal::incarnation() const
{
    return this->incarnation_number;
}

std::uint64_t journal::last_index() const
{
    return this->last;
}

std::uint64_t journal::snapshot_index() const
{
    return this->base;
}

std::uint64_t journal::file_bytes() const
{
    return this->written_bytes;
}

bool journal::has_failed() const
{
    return this->failed || this->file.has_failed();
}

} // namespace bilberrylead::store
