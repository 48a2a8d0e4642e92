#include "bilberrylead/core/cbor.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <random>
#include <vector>

using namespace bilberrylead;

// An untrusted peer sends a few bytes that declare gigabytes of content, or
// thousands of nested arrays. Without the check before parsing, the library's
// parser would allocate the declared size or recurse until the stack
// overflows, and the process would die.
Test(cbor, hostile_bytes_when_parsed_are_refused)
{
    bytes const nested_arrays(100'000, 0x81);
    bytes const nested_texts(100'000, 0x7F);
    bytes const nested_tags(100'000, 0xC1);
    std::vector<bytes> const rows = {
        {},
        nested_arrays,
        nested_texts,
        nested_tags,
        {0x9B, 0x7F, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF},
        {0xBB, 0x80, 0, 0, 0, 0, 0, 0, 1, 0},
        {0x5B, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF},
        {0x9F, 0x01, 0xFF},
        {0x5F, 0x41, 0x00, 0xFF},
        {0x1C},
        {0x1B, 0, 0},
        {0x01, 0x01},
        {0xA1, 0x01, 0x01},
        {0xF8, 0x20},
    };
    for (std::size_t row = 0; row < rows.size(); ++row)
    {
        cr_expect_not(parse_cbor(rows[row]).ok(), "row %zu", row);
    }
}

Test(cbor, encoded_items_when_measured_have_their_exact_length)
{
    nlohmann::json const item = nlohmann::json::array(
        {1, -70'000, "text", true, nullptr, 2.5,
         nlohmann::json::binary(bytes(300)),
         nlohmann::json::object({{"a", nlohmann::json::array({1, 2})}}),
         nlohmann::json::array()});
    bytes output;
    append_cbor(item, output);
    std::size_t const length = output.size();
    append_cbor(item, output);
    cr_assert_eq(cbor_item_length(output).value(), length);
    cr_assert(parse_cbor({output.data(), length}).value() == item);
    cr_assert_not(parse_cbor(output).ok());
}

Test(cbor, random_bytes_when_parsed_never_throw)
{
    std::mt19937_64 random(20261202);
    int refused = 0;
    for (int round = 0; round < 200'000; ++round)
    {
        bytes input(random() % 24);
        for (std::uint8_t& each : input)
        {
            each = static_cast<std::uint8_t>(random());
        }
        refused += parse_cbor(input).ok() ? 0 : 1;
    }
    cr_assert_gt(refused, 0);
    cr_assert_lt(refused, 200'000);
}
