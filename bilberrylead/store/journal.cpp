#include "bilberrylead/store/journal.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/store/checksummed_file.hpp"
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
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    return distribution(source);
}

absl::Status invalid_call(std::string const& message)
{
    return make_error(error_kind::bad_value, message,
                      "This is a fault of the program; report it.");
}

} // namespace

journal::journal(std::filesystem::path data_folder,
                 journal_settings const& initial_settings)
    : folder(std::move(data_folder)), settings(initial_settings)
{
    assert(initial_settings.max_record_bytes > 0);
}

absl::StatusOr<journal> journal::open(std::filesystem::path const& folder,
                                      journal_settings const& settings)
{
    absl::Status created = create_folder(folder);
    if (!created.ok())
    {
        return created;
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
    // Temporary files that a crash left before their rename were never part
    // of the content.
    for (char const* name :
         {journal_file_name, snapshot_file_name, identity_file_name})
    {
        remove_temporary_file(this->folder / name);
    }
    absl::StatusOr<folder_content> content = read_folder(this->folder);
    if (!content.ok())
    {
        return content.status();
    }
    this->recovered_content = std::move(content->state);
    bool const has_records = !this->recovered_content.entries.empty() ||
                             this->recovered_content.state.has_value() ||
                             this->recovered_content.snapshot.has_value();
    if (this->recovered_content.discarded_bytes > 0)
    {
        log.warning("Discarded an incomplete write of {} bytes at the end of "
                    "the journal.",
                    this->recovered_content.discarded_bytes);
    }
    if (content->has_journal)
    {
        absl::Status identity = this->recover_identity(true, has_records);
        return identity.ok() ? this->rewrite(this->recovered_content)
                             : identity;
    }
    // The journal is created before the identity. A folder with an identity
    // but no journal has therefore lost its journal, and possibly its votes.
    absl::Status identity = this->recover_identity(false, has_records);
    if (!identity.ok())
    {
        return identity;
    }
    absl::Status written = this->rewrite(this->recovered_content);
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
        std::optional<checksummed_file> const identity =
            decode_checksummed_file(file_purpose::identity, **content);
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
    absl::Status written = replace_file(
        path, encode_checksummed_file(file_purpose::identity,
                                      this->incarnation_number, {}));
    return written.ok() ? sync_folder(this->folder) : written;
}

absl::Status journal::rewrite(recovered_state const& content)
{
    this->failed = true;
    this->base_index =
        content.snapshot.has_value() ? content.snapshot->index : 0;
    this->last_record_index = content.entries.empty()
                                  ? this->base_index
                                  : content.entries.back().index;
    this->salt = random_number();
    std::array<std::uint8_t, sizeof(this->salt)> salt_bytes{};
    write_little_endian(std::span<std::uint8_t>(salt_bytes), this->salt);
    bytes output = encode_checksummed_file(file_purpose::journal,
                                           this->base_index, salt_bytes);

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
    this->batch_count = batch.empty() ? 0 : 1;
    if (!batch.empty())
    {
        std::span<std::uint8_t const> const frame =
            batch.seal(this->salt, this->batch_count);
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
    absl::StatusOr<file_descriptor> opened = open_for_append(path);
    if (!opened.ok())
    {
        return opened.status();
    }
    this->file = durable_file<>(*std::move(opened), path.string());
    this->written_bytes = output.size();
    this->failed = false;
    return absl::OkStatus();
}

absl::Status journal::check_usable() const
{
    if (!this->has_failed())
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::storage,
        "An earlier write to the journal failed; the journal is closed.",
        "Free disk space or replace the disk, then restart this process.");
}

absl::Status journal::append(std::uint64_t index,
                             std::span<std::uint8_t const> content)
{
    absl::Status state = this->check_usable();
    if (!state.ok())
    {
        return state;
    }
    if (index <= this->base_index || index > this->last_record_index + 1)
    {
        return invalid_call(fmt::format(
            "Record {} is out of sequence after snapshot {} and record {}.",
            index, this->base_index, this->last_record_index));
    }
    if (content.size() > this->settings.max_record_bytes)
    {
        return make_error(
            error_kind::bad_value,
            fmt::format("A record of {} bytes exceeds the limit of {} bytes.",
                        content.size(), this->settings.max_record_bytes),
            "Split the change.");
    }
    this->pending.add(journal_batch::record_kind::entry, index, content);
    this->last_record_index = index;
    return absl::OkStatus();
}

absl::Status journal::truncate_after(std::uint64_t index)
{
    absl::Status state = this->check_usable();
    if (!state.ok())
    {
        return state;
    }
    if (index < this->base_index)
    {
        return invalid_call(fmt::format("Record {} is covered by snapshot {}.",
                                        index, this->base_index));
    }
    this->pending.add(journal_batch::record_kind::truncate, index, {});
    this->last_record_index = std::min(this->last_record_index, index);
    return absl::OkStatus();
}

absl::Status journal::set_state(std::span<std::uint8_t const> state)
{
    absl::Status usable = this->check_usable();
    if (usable.ok())
    {
        this->pending.add(journal_batch::record_kind::state, 0, state);
    }
    return usable;
}

absl::Status journal::sync()
{
    absl::Status state = this->check_usable();
    if (!state.ok() || this->pending.empty())
    {
        return state;
    }
    std::span<std::uint8_t const> const frame =
        this->pending.seal(this->salt, this->batch_count + 1);
    absl::Status written = this->file.append(frame);
    if (written.ok())
    {
        ++this->batch_count;
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
    if (index <= this->base_index)
    {
        return invalid_call(fmt::format("Snapshot {} is not newer than {}.",
                                        index, this->base_index));
    }

    // Read the journal back before the snapshot is replaced: if the journal
    // is unreadable, the old snapshot must stay.
    absl::StatusOr<folder_content> on_disk = read_folder(this->folder);
    if (!on_disk.ok())
    {
        return on_disk.status();
    }
    std::filesystem::path const path = this->folder / snapshot_file_name;
    absl::Status replaced = replace_file(
        path, encode_checksummed_file(file_purpose::snapshot, index, content));
    if (!replaced.ok())
    {
        return replaced;
    }

    // The snapshot must be durable before the records that it covers are
    // removed.
    this->failed = true;
    absl::Status renamed = sync_folder(this->folder);
    if (!renamed.ok())
    {
        return renamed;
    }
    recovered_state& remaining = on_disk->state;
    std::erase_if(remaining.entries,
                  [index](journal_entry const& entry)
                  {
                      return entry.index <= index;
                  });
    remaining.snapshot = journal_entry{index, {}};
    return this->rewrite(remaining);
}

recovered_state& journal::recovered()
{
    return this->recovered_content;
}

std::uint64_t journal::incarnation() const
{
    return this->incarnation_number;
}

std::uint64_t journal::last_index() const
{
    return this->last_record_index;
}

std::uint64_t journal::snapshot_index() const
{
    return this->base_index;
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
