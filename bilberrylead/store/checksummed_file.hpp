#ifndef BILBERRYLEAD_STORE_CHECKSUMMED_FILE_HPP
#define BILBERRYLEAD_STORE_CHECKSUMMED_FILE_HPP

#include "bilberrylead/core/bytes.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace bilberrylead::store
{

/// What a small file of the data folder is for; a file that was renamed by
/// hand is not taken for another.
enum class file_purpose : std::uint32_t
{
    /// The folder's incarnation.
    identity = 0x64496c42,
    /// A snapshot.
    snapshot = 0x6e536c42,
    /// The head of the journal.
    journal = 0x6e4a6c42,
    /// The upstreams as they were listed last.
    listing = 0x734c6c42,
    /// Which requests run in which region, as it was planned last.
    region_plan = 0x50526c42,
};

/// A file that is written once, whole: a number and content, checksummed
/// and with the format's version.
struct checksummed_file
{
    /// Incarnation, snapshot index or journal base, by purpose.
    std::uint64_t number = 0;
    /// The rest.
    bytes content;
};

/// The file's bytes.
bytes encode_checksummed_file(file_purpose purpose, std::uint64_t number,
                              std::span<std::uint8_t const> content);

/// The file that `input` starts with, or nothing if it is damaged, for
/// another purpose or of another version.
std::optional<checksummed_file>
decode_checksummed_file(file_purpose purpose,
                        std::span<std::uint8_t const> input);

/// Bytes that encode_checked_file adds to the content.
inline constexpr std::size_t checksummed_file_header_size = 32;

} // namespace bilberrylead::store

#endif
