#include "bilberrylead/core/packed_bytes.hpp"

#include "bilberrylead/core/error.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace bilberrylead;

namespace
{

constexpr std::size_t longest = std::size_t{1} << 20U;

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

Test(packed_bytes, document_when_unpacked_is_the_same_and_was_much_shorter)
{
    bytes const packed = pack(document());
    cr_expect(is_packed(packed));
    cr_expect_lt(packed.size() * 4, document().size());
    absl::StatusOr<bytes> const content = unpack(packed, longest);
    cr_assert(content.ok());
    cr_expect(*content == document());
}

// A peer's message is cut or damaged: the receiver hears so and goes on with
// what it has.
Test(packed_bytes, frame_when_cut_or_damaged_is_a_typed_error)
{
    bytes const packed = pack(document());
    for (std::size_t size = 0; size < packed.size(); ++size)
    {
        absl::StatusOr<bytes> const content = unpack(
            {packed.begin(), packed.begin() + std::ptrdiff_t(size)}, longest);
        cr_assert_not(content.ok());
        cr_assert(kind_of(content.status()) == error_kind::bad_value);
    }
    for (std::size_t place = 0; place < packed.size(); ++place)
    {
        bytes damaged = packed;
        damaged[place] ^= 0x55U;
        // What can be read at all keeps to the bound.
        absl::StatusOr<bytes> const content = unpack(damaged, longest);
        cr_assert(!content.ok() || content->size() <= longest);
    }
}

// A few bytes that unpack to gigabytes must not take a host's memory.
Test(packed_bytes, content_when_longer_than_allowed_is_refused)
{
    bytes const packed = pack(bytes(longest + 1, 'x'));
    cr_expect_lt(packed.size(), 4096U);
    cr_expect_not(unpack(packed, longest).ok());
    cr_expect(unpack(packed, longest + 1).ok());
}

Test(packed_bytes, plain_content_is_not_taken_for_packed)
{
    cr_expect_not(is_packed({}));
    cr_expect_not(is_packed({'{', '}', ' ', ' '}));
    cr_expect_not(is_packed({0x84, 0x01, 0x02, 0x03, 0x04}));
}
