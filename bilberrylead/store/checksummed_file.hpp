#ifndef BILBERRYLEAD_STORE_CHECKSUMMED_FILE_HPP
#define BILBERRYLEAD_STORE_CHECKSUMMED_FILE_HPP

#include "bilberrylead/core/bytes.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace bilberrylead::store
{

/// Purpose of a small file in the data folder. Its value is the magic number
/// of the file, so that a file renamed by hand is not read as another kind.
enum class file_purpose : std::uint32_t
{
    /// The incarnation of the data folder.
    identity = 0x64496c42,
    /// A snapshot.
    snapshot = 0x6e536c42,
    /// The header of the journal.
    journal = 0x6e4a6c42,
    /// The most recent listing of the upstreams.
    listing = 0x734c6c42,
    /// The most recent plan of which requests run in which region.
    region_plan = 0x50526c42,
};

/// Content of a file that is written in one piece: a number and a payload,
/// with a format version and a checksum.
struct checksummed_file
{
    /// Incarnation, snapshot index or base index of the journal, by purpose; 0
    /// where the purpose has none.
    std::uint64_t number = 0;
    /// The payload.
    bytes content;
};

/// Returns the encoded file: header, then `content`.
bytes encode_checksummed_file(file_purpose purpose, std::uint64_t number,
                              std::span<std::uint8_t const> content);

/// Decodes the file at the start of `input`; nothing if it is damaged, has
/// another purpose or another format version. Bytes after it are ignored.
std::optional<checksummed_file>
decode_checksummed_file(file_purpose purpose,
                        std::span<std::uint8_t const> input);

/// Size of the header that encode_checksummed_file puts before the content,
/// bytes.
inline constexpr std::size_t checksummed_file_header_size = 32;

} // namespace bilberrylead::store

#endif
