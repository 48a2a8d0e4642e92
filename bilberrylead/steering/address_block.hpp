#ifndef BILBERRYLEAD_STEERING_ADDRESS_BLOCK_HPP
#define BILBERRYLEAD_STEERING_ADDRESS_BLOCK_HPP

#include "bilberrylead/steering/ip_address.hpp"

#include <absl/status/statusor.h>

#include <compare>
#include <string>

namespace bilberrylead::steering
{

/// A block of IP addresses that share a prefix.
class address_block
{
public:
    /// Parses CIDR notation, for example 10.1.0.0/16 or 2001:db8::/32.
    /// Returns error_kind::bad_value if the prefix length exceeds that of the
    /// address family, or if the address has bits set beyond the prefix.
    static absl::StatusOr<address_block> parse(std::string const& text);
    /// Returns the block of all addresses that share the first `length` bits
    /// with `address`; `length` is 0 to 32 for IPv4 and 0 to 128 for IPv6.
    static address_block containing(ip_address const& address, unsigned length);

    /// Returns the block in CIDR notation.
    std::string to_string() const;
    /// Returns the lowest address of the block.
    ip_address const& first() const;
    /// Returns the prefix length in bits.
    unsigned length() const;

    friend auto operator<=>(address_block const&,
                            address_block const&) = default;

private:
    ip_address start;
    unsigned bits = 0;
};

} // namespace bilberrylead::steering

#endif
