#ifndef BILBERRYLEAD_STEERING_V6_KEY_HPP
#define BILBERRYLEAD_STEERING_V6_KEY_HPP

#include <compare>
#include <cstdint>

namespace bilberrylead::steering
{

/// An IPv6 address as a number of 128 bits; ordered as such.
struct v6_key
{
    /// The upper 64 bits.
    std::uint64_t high = 0;
    /// The lower 64 bits.
    std::uint64_t low = 0;

    friend auto operator<=>(v6_key const&, v6_key const&) = default;
};

/// Bits of an address of each family.
inline constexpr unsigned v4_bits = 32;
/// Bits of an IPv6 address.
inline constexpr unsigned v6_bits = 128;

/// The address with all but its first `length` bits zero.
constexpr std::uint32_t truncated(std::uint32_t address, unsigned length)
{
    return length == 0 ? 0U : address & (~std::uint32_t{0} << (32U - length));
}

/// The address with all but its first `length` bits zero.
constexpr v6_key truncated(v6_key address, unsigned length)
{
    constexpr std::uint64_t all = ~std::uint64_t{0};
    if (length == 0)
    {
        return {};
    }
    if (length <= 64)
    {
        return {address.high & (all << (64U - length)), 0};
    }
    return {address.high, address.low & (all << (128U - length))};
}

} // namespace bilberrylead::steering

#endif
