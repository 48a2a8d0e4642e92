#ifndef BILBERRYLEAD_STEERING_ADDRESS_KEY_TRAITS_HPP
#define BILBERRYLEAD_STEERING_ADDRESS_KEY_TRAITS_HPP

#include "bilberrylead/steering/v6_key.hpp"

#include <bit>
#include <cstdint>
#include <limits>

namespace bilberrylead::steering
{

/// What a table of blocks needs to know of its addresses.
template <class Key>
struct address_key_traits;

/// IPv4 blocks.
template <>
struct address_key_traits<std::uint32_t>
{
    /// Holds a bit for each length that a surrounding block can have.
    using length_set = std::uint32_t;
    /// Shortest block.
    static constexpr unsigned min_length = 0;
    /// Comes after every other address, or equals it.
    static constexpr std::uint32_t max_address =
        std::numeric_limits<std::uint32_t>::max();

    /// First bits that both addresses share.
    static unsigned common_prefix_length(std::uint32_t left,
                                         std::uint32_t right)
    {
        return static_cast<unsigned>(std::countl_zero(left ^ right));
    }
};

/// IPv6 blocks of up to 64 bits, by the upper half of their addresses.
template <>
struct address_key_traits<std::uint64_t>
{
    /// Holds a bit for each length that a surrounding block can have.
    using length_set = std::uint64_t;
    /// Shortest block.
    static constexpr unsigned min_length = 0;
    /// Comes after every other address, or equals it.
    static constexpr std::uint64_t max_address =
        std::numeric_limits<std::uint64_t>::max();

    /// First bits that both addresses share.
    static unsigned common_prefix_length(std::uint64_t left,
                                         std::uint64_t right)
    {
        return static_cast<unsigned>(std::countl_zero(left ^ right));
    }
};

/// IPv6 blocks of more than 64 bits.
template <>
struct address_key_traits<v6_key>
{
    /// Holds a bit for each length that a surrounding block can have.
    using length_set = std::uint64_t;
    /// Shortest block.
    static constexpr unsigned min_length = 65;
    /// Comes after every other address, or equals it.
    static constexpr v6_key max_address = {
        std::numeric_limits<std::uint64_t>::max(),
        std::numeric_limits<std::uint64_t>::max()};

    /// First bits that both addresses share.
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
