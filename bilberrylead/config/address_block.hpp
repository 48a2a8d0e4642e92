#ifndef BILBERRYLEAD_CONFIG_ADDRESS_BLOCK_HPP
#define BILBERRYLEAD_CONFIG_ADDRESS_BLOCK_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrylead::config
{

/// An IP address, 16 bytes in network order; IPv4 as ::ffff:a.b.c.d.
using ip_address = std::array<std::uint8_t, 16>;

/// Reads an IPv4 or IPv6 address; nothing if it is neither.
std::optional<ip_address> parse_ip_address(std::string_view text);

/// An address block in binary form, as look-ups compare it.
struct address_block
{
    /// The lowest address of the block.
    ip_address first{};
    /// Leading bits that every address of the block shares, 0 to 128; an
    /// IPv4 /16 is 112 here.
    std::uint8_t prefix_bits = 0;

    friend auto operator<=>(address_block const&,
                            address_block const&) = default;
};

/// Reads CIDR form, 10.1.0.0/16 or 2001:db8::/32; nothing if it is not
/// that. Bits below the prefix may be set; see `masked`.
std::optional<address_block> parse_address_block(std::string_view text);

/// The block with every bit below the prefix cleared.
address_block masked(address_block const& block);

/// CIDR form, IPv4 where the block is one.
std::string to_string(address_block const& block);

/// True if the address lies within the block.
bool contains(address_block const& block, ip_address const& address);

} // namespace bilberrylead::config

#endif
