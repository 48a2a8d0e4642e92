#include "bilberrylead/core/compression.hpp"

#include "bilberrylead/core/error.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace bilberrylead;

namespace
{

constexpr std::size_t max_size = std::size_t{1} << 20U;

bytes document()
{
    std::string text;
    for (int route = 0; route < 500; ++route)
    {
        text += "{\"path_prefix\":\"/r" + std::to_string(route) + "/\"},";
    }
    return {text.begin(), text.end()};
}

} // namespace

Test(compression, document_round_trips_and_compresses_well)
{
    bytes const compressed = compress(document());
    cr_expect(is_compressed(compressed));
    cr_expect_lt(compressed.size() * 4, document().size());
    absl::StatusOr<bytes> const content = decompress(compressed, max_size);
    cr_assert(content.ok());
    cr_expect(*content == document());
}

// A message from a peer arrives truncated or corrupt: decompression returns an
// error, and the receiver keeps its current content.
Test(compression, frame_when_cut_or_damaged_is_a_typed_error)
{
    bytes const compressed = compress(document());
    for (std::size_t size = 0; size < compressed.size(); ++size)
    {
        absl::StatusOr<bytes> const content = decompress(
            {compressed.begin(), compressed.begin() + std::ptrdiff_t(size)},
            max_size);
        cr_assert_not(content.ok());
        cr_assert(kind_of(content.status()) == error_kind::bad_value);
    }
    for (std::size_t place = 0; place < compressed.size(); ++place)
    {
        bytes damaged = compressed;
        damaged[place] ^= 0x55U;
        // If the damaged frame still decompresses, the size limit holds.
        absl::StatusOr<bytes> const content = decompress(damaged, max_size);
        cr_assert(!content.ok() || content->size() <= max_size);
    }
}

// A few bytes that decompress to gigabytes must not exhaust a host's memory.
Test(compression, content_when_longer_than_allowed_is_refused)
{
    bytes const compressed = compress(bytes(max_size + 1, 'x'));
    cr_expect_lt(compressed.size(), 4096U);
    cr_expect_not(decompress(compressed, max_size).ok());
    cr_expect(decompress(compressed, max_size + 1).ok());
}

Test(compression, plain_content_is_not_detected_as_compressed)
{
    cr_expect_not(is_compressed({}));
    cr_expect_not(is_compressed({'{', '}', ' ', ' '}));
    cr_expect_not(is_compressed({0x84, 0x01, 0x02, 0x03, 0x04}));
}
