#ifndef BILBERRYLEAD_STEERING_ADDRESS_BLOCK_HPP
#define BILBERRYLEAD_STEERING_ADDRESS_BLOCK_HPP

#include "bilberrylead/steering/ip_address.hpp"

#include <absl/status/statusor.h>

#include <compare>
#include <string>

namespace bilberrylead::steering
{

/// A block of addresses that start with the same bits.
class address_block
{
public:
    /// Reads CIDR form, for example 10.1.0.0/16 or 2001:db8::/32. Refuses a
    /// length beyond the family's and an address with bits set after it.
    static absl::StatusOr<address_block> parse(std::string const& text);
    /// Makes a block of the addresses that share the first `length` bits
    /// with `address`; `length` is 0 to 32 or 0 to 128.
    static address_block containing(ip_address const& address, unsigned length);

    /// CIDR form.
    std::string to_string() const;
    /// The first address.
    ip_address const& first() const;
    /// Bits that are the same in all.
    unsigned length() const;

    friend auto operator<=>(address_block const&,
                            address_block const&) = default;

private:
    ip_address start;
    unsigned bits = 0;
};

} // namespace bilberrylead::steering

#endif
