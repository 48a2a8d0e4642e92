#include "bilberrylead/store/checksummed_file.hpp"

#include "bilberrylead/store/little_endian.hpp"

#include <xxhash.h>

#include <algorithm>

namespace bilberrylead::store
{

namespace
{

constexpr std::uint32_t format_version = 1;
constexpr std::size_t version_offset = 4;
constexpr std::size_t number_offset = 8;
constexpr std::size_t length_offset = 16;
constexpr std::size_t checksum_offset = 24;

std::uint64_t checksum_of(std::span<std::uint8_t const> header,
                          std::span<std::uint8_t const> content)
{
    std::uint64_t const seed = XXH64(header.data(), checksum_offset, 0);
    return XXH64(content.data(), content.size(), seed);
}

} // namespace

bytes encode_checksummed_file(file_purpose purpose, std::uint64_t number,
                              std::span<std::uint8_t const> content)
{
    bytes output(checksummed_file_header_size + content.size());
    std::span<std::uint8_t> const header(output);
    write_little_endian(header, static_cast<std::uint32_t>(purpose));
    write_little_endian(header.subspan(version_offset), format_version);
    write_little_endian(header.subspan(number_offset), number);
    write_little_endian(header.subspan(length_offset),
                        std::uint64_t{content.size()});
    write_little_endian(header.subspan(checksum_offset),
                        checksum_of(header, content));
    std::copy(content.begin(), content.end(),
              output.begin() + checksummed_file_header_size);
    return output;
}

std::optional<checksummed_file>
decode_checksummed_file(file_purpose purpose,
                        std::span<std::uint8_t const> input)
{
    if (input.size() < checksummed_file_header_size ||
        read_little_endian<std::uint32_t>(input) !=
            static_cast<std::uint32_t>(purpose) ||
        read_little_endian<std::uint32_t>(input.subspan(version_offset)) !=
            format_version)
    {
        return std::nullopt;
    }
    std::uint64_t const length =
        read_little_endian<std::uint64_t>(input.subspan(length_offset));
    if (length > input.size() - checksummed_file_header_size)
    {
        return std::nullopt;
    }
    std::span<std::uint8_t const> const content =
        input.subspan(checksummed_file_header_size, length);
    if (read_little_endian<std::uint64_t>(input.subspan(checksum_offset)) !=
        checksum_of(input, content))
    {
        return std::nullopt;
    }
    return checksummed_file{
        read_little_endian<std::uint64_t>(input.subspan(number_offset)),
        bytes(content.begin(), content.end())};
}

} // namespace bilberrylead::store
