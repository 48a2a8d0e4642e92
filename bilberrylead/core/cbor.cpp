#include "bilberrylead/core/cbor.hpp"

#include "bilberrylead/core/error.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <optional>

namespace bilberrylead
{

namespace
{

constexpr std::size_t max_nesting = 16;
constexpr unsigned major_byte_string = 2;
constexpr unsigned major_text_string = 3;
constexpr unsigned major_array = 4;
constexpr unsigned major_map = 5;
constexpr unsigned major_tag = 6;
constexpr unsigned major_simple = 7;

/// The head of an item (RFC 8949): major type, argument, and the length in
/// bytes of both together.
struct item_head
{
    unsigned major = 0;
    std::uint64_t argument = 0;
    std::size_t length = 0;
};

std::optional<item_head> read_head(std::span<std::uint8_t const> input)
{
    if (input.empty())
    {
        return std::nullopt;
    }
    item_head head;
    head.major = input[0] >> 5U;
    head.length = 1;
    unsigned const additional = input[0] & 0x1FU;
    constexpr unsigned max_inline_argument = 23;
    constexpr unsigned max_sized_argument = 27;
    if (additional <= max_inline_argument)
    {
        head.argument = additional;
        return head;
    }
    // 28 to 31 are reserved or stand for an indefinite length.
    if (additional > max_sized_argument)
    {
        return std::nullopt;
    }
    std::size_t const width = std::size_t{1} << (additional - 24U);
    if (input.size() < 1 + width)
    {
        return std::nullopt;
    }
    for (std::size_t i = 1; i <= width; ++i)
    {
        head.argument = (head.argument << 8U) | input[i];
    }
    head.length += width;
    return head;
}

absl::Status malformed_input()
{
    return make_error(error_kind::syntax,
                      "The input is not CBOR in the supported subset.",
                      "Check that both sides run compatible versions.");
}

/// Number of items that remain to be read at each open level of nesting.
/// Level 0 is the top level.
struct open_levels
{
    std::array<std::uint64_t, max_nesting + 1> remaining{};
    std::size_t depth = 0;

    bool open(std::uint64_t items)
    {
        if (this->depth == max_nesting)
        {
            return false;
        }
        this->remaining.at(++this->depth) = items;
        return true;
    }

    /// Closes every level that has no items left. Each closed level counts
    /// as one item read at the level above.
    void close_finished()
    {
        while (this->depth > 0 && this->remaining.at(this->depth) == 0)
        {
            --this->depth;
            --this->remaining.at(this->depth);
        }
    }
};

} // namespace

absl::StatusOr<std::size_t>
cbor_item_length(std::span<std::uint8_t const> input)
{
    std::size_t position = 0;
    open_levels levels;
    levels.remaining.at(0) = 1;
    while (levels.remaining.at(0) > 0)
    {
        std::optional<item_head> const head =
            read_head(input.subspan(position));
        if (!head.has_value() || head->major == major_tag)
        {
            return malformed_input();
        }
        position += head->length;
        std::uint64_t const remaining_bytes = input.size() - position;
        bool const is_string = head->major == major_byte_string ||
                               head->major == major_text_string;
        bool const is_list =
            head->major == major_array || head->major == major_map;
        // Each element takes at least one byte, so an argument larger than
        // the number of remaining bytes cannot be valid.
        if ((is_string || is_list) && head->argument > remaining_bytes)
        {
            return malformed_input();
        }
        if (head->major == major_simple && head->length == 2)
        {
            return malformed_input();
        }
        if (is_list)
        {
            std::uint64_t const width = head->major == major_map ? 2 : 1;
            if (!levels.open(head->argument * width))
            {
                return malformed_input();
            }
        }
        else
        {
            position += is_string ? head->argument : 0;
            --levels.remaining.at(levels.depth);
        }
        levels.close_finished();
    }
    return position;
}

absl::StatusOr<nlohmann::json> parse_cbor(std::span<std::uint8_t const> input)
{
    absl::StatusOr<std::size_t> const length = cbor_item_length(input);
    if (!length.ok())
    {
        return length.status();
    }
    if (*length != input.size())
    {
        return malformed_input();
    }
    try
    {
        return nlohmann::json::from_cbor(input.begin(), input.end());
    }
    catch (nlohmann::json::exception const&)
    {
        return malformed_input();
    }
}

void append_cbor(nlohmann::json const& item, bytes& output)
{
    nlohmann::json::to_cbor(item, output);
}

} // namespace bilberrylead
