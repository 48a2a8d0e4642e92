#include "bilberrylead/store/checked_file.hpp"

#include "bilberrylead/store/little_endian.hpp"

#include <xxhash.h>

#include <algorithm>

namespace bilberrylead::store
{

namespace
{

constexpr std::uint32_t format_version = 1;
constexpr std::size_t version_at = 4;
constexpr std::size_t number_at = 8;
constexpr std::size_t length_at = 16;
constexpr std::size_t checksum_at = 24;

std::uint64_t checksum_of(std::span<std::uint8_t const> head,
                          std::span<std::uint8_t const> content)
{
    std::uint64_t const seed = XXH64(head.data(), checksum_at, 0);
    return XXH64(content.data(), content.size(), seed);
}

} // namespace

bytes encode_checked_file(file_purpose purpose, std::uint64_t number,
                          std::span<std::uint8_t const> content)
{
    bytes output(checked_file_head + content.size());
    std::span<std::uint8_t> const head(output);
    put_number(head, static_cast<std::uint32_t>(purpose));
    put_number(head.subspan(version_at), format_version);
    put_number(head.subspan(number_at), number);
    put_number(head.subspan(length_at), std::uint64_t{content.size()});
    put_number(head.subspan(checksum_at), checksum_of(head, content));
    std::copy(content.begin(), content.end(),
              output.begin() + checked_file_head);
    return output;
}

std::optional<checked_file>
decode_checked_file(file_purpose purpose, std::span<std::uint8_t const> input)
{
    if (input.size() < checked_file_head ||
        get_number<std::uint32_t>(input) !=
            static_cast<std::uint32_t>(purpose) ||
        get_number<std::uint32_t>(input.subspan(version_at)) != format_version)
    {
        return std::nullopt;
    }
    std::uint64_t const length =
        get_number<std::uint64_t>(input.subspan(length_at));
    if (length > input.size() - checked_file_head)
    {
        return std::nullopt;
    }
    std::span<std::uint8_t const> const content =
        input.subspan(checked_file_head, length);
    if (get_number<std::uint64_t>(input.subspan(checksum_at)) !=
        checksum_of(input, content))
    {
        return std::nullopt;
    }
    return checked_file{get_number<std::uint64_t>(input.subspan(number_at)),
                        bytes(content.begin(), content.end())};
}

} // namespace bilberrylead::store
