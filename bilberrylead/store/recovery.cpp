#include "bilberrylead/store/recovery.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/store/checksummed_file.hpp"
#include "bilberrylead/store/folder_files.hpp"
#include "bilberrylead/store/journal_batch.hpp"
#include "bilberrylead/store/little_endian.hpp"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace bilberrylead::store
{

namespace
{

absl::Status corrupt(std::string_view damage,
                     std::filesystem::path const& folder)
{
    return make_error(
        error_kind::corrupt,
        fmt::format("{} (data folder {}).", damage, folder.string()),
        "Move the data folder away and let this host rejoin empty.");
}

absl::Status read_snapshot(std::filesystem::path const& folder,
                           recovered_state& state)
{
    absl::StatusOr<std::optional<bytes>> const content =
        read_file(folder / snapshot_file_name);
    if (!content.ok() || !content->has_value())
    {
        return content.status();
    }
    std::optional<checksummed_file> snapshot =
        decode_checksummed_file(file_purpose::snapshot, **content);
    if (!snapshot.has_value())
    {
        return corrupt("The snapshot is damaged", folder);
    }
    state.snapshot =
        journal_entry{snapshot->number, std::move(snapshot->content)};
    return absl::OkStatus();
}

/// Applies one record to the state; false if it leaves a gap after the last
/// one.
bool replay(journal_record const& record, std::uint64_t snapshot_index,
            recovered_state& state)
{
    switch (record.kind)
    {
    case journal_batch::record_kind::state:
        state.state = bytes(record.content.begin(), record.content.end());
        return true;
    case journal_batch::record_kind::truncate:
        while (!state.entries.empty() &&
               state.entries.back().index > record.index)
        {
            state.entries.pop_back();
        }
        return true;
    case journal_batch::record_kind::entry:
        break;
    }
    while (!state.entries.empty() && state.entries.back().index >= record.index)
    {
        state.entries.pop_back();
    }
    // A crash between the write of the snapshot and that of the journal leaves
    // records that the snapshot covers.
    if (record.index <= snapshot_index)
    {
        return true;
    }
    std::uint64_t const expected = state.entries.empty()
                                       ? snapshot_index + 1
                                       : state.entries.back().index + 1;
    state.entries.push_back(
        {record.index, bytes(record.content.begin(), record.content.end())});
    return record.index == expected;
}

} // namespace

absl::StatusOr<folder_content> read_folder(std::filesystem::path const& folder)
{
    folder_content result;
    absl::Status snapshot = read_snapshot(folder, result.state);
    if (!snapshot.ok())
    {
        return snapshot;
    }
    absl::StatusOr<std::optional<bytes>> const content =
        read_file(folder / journal_file_name);
    if (!content.ok())
    {
        return content.status();
    }
    if (!content->has_value())
    {
        return result;
    }
    result.has_journal = true;
    std::span<std::uint8_t const> const file(**content);
    std::optional<checksummed_file> const header =
        decode_checksummed_file(file_purpose::journal, file);
    if (!header.has_value() || header->content.size() != sizeof(std::uint64_t))
    {
        return corrupt("The header of the journal is damaged", folder);
    }
    std::uint64_t const snapshot_index =
        result.state.snapshot.has_value() ? result.state.snapshot->index : 0;
    if (snapshot_index < header->number)
    {
        return corrupt("The snapshot that the journal builds on is missing",
                       folder);
    }
    absl::StatusOr<batch_scan> const scan = scan_batches(
        read_little_endian<std::uint64_t>(header->content),
        file.subspan(checksummed_file_header_size + header->content.size()));
    if (!scan.ok())
    {
        return scan.status();
    }
    for (journal_record const& record : scan->records)
    {
        if (!replay(record, snapshot_index, result.state))
        {
            return corrupt("The journal has a gap", folder);
        }
    }
    result.state.discarded_bytes = scan->discarded_bytes;
    return result;
}

} // namespace bilberrylead::store
