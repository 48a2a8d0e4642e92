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

/// Reads snapshot and journal of a folder; `has_journal` tells whether there
/// was a journal at all. Changes nothing.
struct folder_content
{
    /// What they hold.
    recovered_state state;
    /// False if the folder has no journal yet.
    bool has_journal = false;
};

/// Reads the folder and refuses damage with the remedy.
absl::StatusOr<folder_content> read_folder(std::filesystem::path const& folder);

} // namespace bilberrylead::store

#endif
