#include "bilberrylead/core/compression.hpp"

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

/// The fastest regular level: a few milliseconds per megabyte. Higher levels
/// save little more.
constexpr int compression_level = 1;
/// Magic number at the start of a Zstandard frame (RFC 8878), in byte order.
constexpr std::array<std::uint8_t, 4> frame_magic{0x28, 0xb5, 0x2f, 0xfd};

absl::Status invalid_frame(std::string_view why)
{
    return make_error(error_kind::bad_value, why,
                      "Run the same version on both sides.");
}

} // namespace

bytes compress(bytes const& content)
{
    bytes compressed(ZSTD_compressBound(content.size()));
    std::size_t const size =
        ZSTD_compress(compressed.data(), compressed.size(), content.data(),
                      content.size(), compression_level);
    // ZSTD_compressBound is sufficient for any content, so this cannot fail.
    assert(ZSTD_isError(size) == 0);
    compressed.resize(size);
    return compressed;
}

bool is_compressed(bytes const& content)
{
    return content.size() >= frame_magic.size() &&
           std::equal(frame_magic.begin(), frame_magic.end(), content.begin());
}

absl::StatusOr<bytes> decompress(bytes const& compressed, std::size_t max_size)
{
    unsigned long long const size =
        ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    {
        return invalid_frame("Compressed content has no valid frame header.");
    }
    if (size > max_size)
    {
        return invalid_frame("Compressed content exceeds the size limit.");
    }
    bytes content(static_cast<std::size_t>(size));
    std::size_t const written = ZSTD_decompress(
        content.data(), content.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written) != 0 || written != content.size())
    {
        return invalid_frame("Compressed content is corrupt or truncated.");
    }
    return content;
}

} // namespace bilberrylead
