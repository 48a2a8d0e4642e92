#include "bilberrylead/core/packed_bytes.hpp"

#include "bilberrylead/core/error.hpp"

#include <zstd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdint>

namespace bilberrylead
{

namespace
{

/// The fastest level: it takes a few milliseconds for a megabyte, and what
/// higher ones save is little beside what this one does.
constexpr int level = 1;
/// First bytes of a frame (RFC 8878).
constexpr std::array<std::uint8_t, 4> frame_start{0x28, 0xb5, 0x2f, 0xfd};

absl::Status unreadable(std::string_view why)
{
    return make_error(error_kind::bad_value, why,
                      "Let both sides run the same version.");
}

} // namespace

bytes pack(bytes const& content)
{
    bytes packed(ZSTD_compressBound(content.size()));
    std::size_t const size = ZSTD_compress(
        packed.data(), packed.size(), content.data(), content.size(), level);
    // The bound leaves room for any content.
    assert(ZSTD_isError(size) == 0);
    packed.resize(size);
    return packed;
}

bool is_packed(bytes const& content)
{
    return content.size() >= frame_start.size() &&
           std::equal(frame_start.begin(), frame_start.end(), content.begin());
}

absl::StatusOr<bytes> unpack(bytes const& packed, std::size_t longest)
{
    unsigned long long const size =
        ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    {
        return unreadable("Packed content has no readable head.");
    }
    if (size > longest)
    {
        return unreadable("Packed content is too long.");
    }
    bytes content(static_cast<std::size_t>(size));
    std::size_t const got = ZSTD_decompress(content.data(), content.size(),
                                            packed.data(), packed.size());
    if (ZSTD_isError(got) != 0 || got != content.size())
    {
        return unreadable("Packed content is damaged or cut.");
    }
    return content;
}

} // namespace bilberrylead
