#ifndef BILBERRYLEAD_STEERING_ADDRESS_KEY_TRAITS_HPP
#define BILBERRYLEAD_STEERING_ADDRESS_KEY_TRAITS_HPP

#include "bilberrylead/steering/v6_key.hpp"

#include <bit>
#include <cstdint>
#include <limits>

namespace bilberrylead::steering
{

/// Properties of the key type that a block table stores addresses as.
template <class Key>
struct address_key_traits;

/// Traits of IPv4 blocks.
template <>
struct address_key_traits<std::uint32_t>
{
    /// Bit set with a bit for each prefix length that an enclosing block
    /// can have.
    using length_set = std::uint32_t;
    /// Smallest prefix length, in bits.
    static constexpr unsigned min_length = 0;
    /// Greatest address: no address compares greater.
    static constexpr std::uint32_t max_address =
        std::numeric_limits<std::uint32_t>::max();

    /// Returns the number of leading bits that both addresses share.
    static unsigned common_prefix_length(std::uint32_t left,
                                         std::uint32_t right)
    {
        return static_cast<unsigned>(std::countl_zero(left ^ right));
    }
};

/// Traits of IPv6 blocks with a prefix of up to 64 bits, which are stored as
/// the upper half of their addresses.
template <>
struct address_key_traits<std::uint64_t>
{
    /// Bit set with a bit for each prefix length that an enclosing block
    /// can have.
    using length_set = std::uint64_t;
    /// Smallest prefix length, in bits.
    static constexpr unsigned min_length = 0;
    /// Greatest address: no address compares greater.
    static constexpr std::uint64_t max_address =
        std::numeric_limits<std::uint64_t>::max();

    /// Returns the number of leading bits that both addresses share.
    static unsigned common_prefix_length(std::uint64_t left,
                                         std::uint64_t right)
    {
        return static_cast<unsigned>(std::countl_zero(left ^ right));
    }
};

/// Traits of IPv6 blocks with a prefix of more than 64 bits.
template <>
struct address_key_traits<v6_key>
{
    /// Bit set with a bit for each prefix length that an enclosing block
    /// can have.
    using length_set = std::uint64_t;
    /// Smallest prefix length, in bits.
    static constexpr unsigned min_length = 65;
    /// Greatest address: no address compares greater.
    static constexpr v6_key max_address = {
        std::numeric_limits<std::uint64_t>::max(),
        std::numeric_limits<std::uint64_t>::max()};

    /// Returns the number of leading bits that both addresses share.
    static unsigned common_prefix_length(v6_key left, v6_key right)
    {
        std::uint64_t const high = left.high ^ right.high;
        return static_cast<unsigned>(
            high != 0 ? std::countl_zero(high)
                      : 64 + std::countl_zero(left.low ^ right.low));
    }
};

} // namespace bilberrylead::steering

#endif
