#include "bilberrylead/steering/address_block.hpp"

#include "bilberrylead/core/error.hpp"

#include <fmt/format.h>

#include <cassert>
#include <charconv>
#include <optional>

namespace bilberrylead::steering
{

namespace
{

std::optional<unsigned> parse_length(std::string const& text)
{
    unsigned length = 0;
    char const* const end = text.data() + text.size();
    std::from_chars_result const result =
        std::from_chars(text.data(), end, length);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
    {
        return std::nullopt;
    }
    return length;
}

} // namespace

absl::StatusOr<address_block> address_block::parse(std::string const& text)
{
    std::size_t const slash = text.find('/');
    std::optional<unsigned> const length =
        slash == std::string::npos ? std::nullopt
                                   : parse_length(text.substr(slash + 1));
    absl::StatusOr<ip_address> const address =
        ip_address::parse(text.substr(0, slash));
    if (!address.ok() || !length.has_value() ||
        *length > (address->is_v4() ? v4_bits : v6_bits))
    {
        return make_error(
            error_kind::bad_value,
            fmt::format("\"{}\" is not an address block.", text),
            "Use CIDR notation, for example 10.1.0.0/16 or 2001:db8::/32.");
    }
    address_block const block = containing(*address, *length);
    if (block.first() != *address)
    {
        return make_error(
            error_kind::bad_value,
            fmt::format("\"{}\" has bits set beyond its prefix length {}.",
                        text, *length),
            "Use the first address of the block, or a longer prefix.");
    }
    return block;
}

address_block address_block::containing(ip_address const& address,
                                        unsigned length)
{
    assert(length <= (address.is_v4() ? v4_bits : v6_bits));
    address_block block;
    block.start = address.is_v4() ? ip_address(truncated(address.v4(), length))
                                  : ip_address(truncated(address.v6(), length));
    block.bits = length;
    return block;
}

std::string address_block::to_string() const
{
    return fmt::format("{}/{}", this->start.to_string(), this->bits);
}

ip_address const& address_block::first() const
{
    return this->start;
}

unsigned address_block::length() const
{
    return this->bits;
}

} // namespace bilberrylead::steering
