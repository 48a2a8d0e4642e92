#ifndef BILBERRYLEAD_STORE_RECOVERY_HPP
#define BILBERRYLEAD_STORE_RECOVERY_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/store/recovered_state.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>

namespace bilberrylead::store
{

/// Name of the journal's file in the data folder.
inline constexpr char const* journal_file_name = "journal";
/// Name of the snapshot's file in the data folder.
inline constexpr char const* snapshot_file_name = "snapshot";

/// Snapshot and journal of a data folder, decoded.
struct folder_content
{
    /// Content of the snapshot and the journal.
    recovered_state state;
    /// False if the folder has no journal yet.
    bool has_journal = false;
};

/// Reads snapshot and journal of the folder without changing anything. Damage
/// before the end of the journal is error_kind::corrupt, with the remedy.
absl::StatusOr<folder_content> read_folder(std::filesystem::path const& folder);

} // namespace bilberrylead::store

#endif
