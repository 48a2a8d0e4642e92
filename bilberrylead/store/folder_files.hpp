#ifndef BILBERRYLEAD_STORE_FOLDER_FILES_HPP
#define BILBERRYLEAD_STORE_FOLDER_FILES_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/store/file_descriptor.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>

namespace bilberrylead::store
{

/// Makes the folder, durably, unless it exists.
absl::Status create_folder(std::filesystem::path const& folder);

/// Makes the folder's list of names durable.
absl::Status sync_folder(std::filesystem::path const& folder);

/// Reads a whole file; nothing if there is no such file.
absl::StatusOr<std::optional<bytes>>
read_file(std::filesystem::path const& path);

/// Writes `content` beside `path`, syncs it and renames it to `path`. After
/// a crash `path` holds the old content or the new one, whole. Until
/// sync_folder it may hold either. On an error before the rename the old
/// content is untouched and the file beside it is removed.
absl::Status replace_file(std::filesystem::path const& path,
                          std::span<std::uint8_t const> content);

/// Removes a file that an earlier replace_file left unfinished.
void remove_temporary_file(std::filesystem::path const& path);

/// Opens a file to append to it.
absl::StatusOr<file_descriptor>
open_for_append(std::filesystem::path const& path);

/// Opens and locks a file until the descriptor is closed; fails if another
/// process (or this one, elsewhere) holds the lock.
absl::StatusOr<file_descriptor> lock_file(std::filesystem::path const& path);

} // namespace bilberrylead::store

#endif
