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

/// Creates the folder, readable by its owner only, and syncs its parent.
/// Does nothing if the folder exists.
absl::Status create_folder(std::filesystem::path const& folder);

/// Makes the folder's directory entries durable (fsync).
absl::Status sync_folder(std::filesystem::path const& folder);

/// Reads a complete file; nothing if the file does not exist.
absl::StatusOr<std::optional<bytes>>
read_file(std::filesystem::path const& path);

/// Writes `content` to a temporary file next to `path`, syncs it and renames
/// it to `path`. After a crash `path` has either the complete old content or
/// the complete new content; until sync_folder() either is possible. On an
/// error the old content is untouched and the temporary file is removed.
absl::Status replace_file(std::filesystem::path const& path,
                          std::span<std::uint8_t const> content);

/// Removes the temporary file of a replace_file() that a crash interrupted.
void remove_temporary_file(std::filesystem::path const& path);

/// Opens an existing file for appending.
absl::StatusOr<file_descriptor>
open_for_append(std::filesystem::path const& path);

/// Opens or creates a file and locks it exclusively until the descriptor is
/// closed. Fails with error_kind::storage if another process, or another
/// descriptor of this process, holds the lock.
absl::StatusOr<file_descriptor> lock_file(std::filesystem::path const& path);

} // namespace bilberrylead::store

#endif
