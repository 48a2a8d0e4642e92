#ifndef BILBERRYLEAD_STEERING_V6_KEY_HPP
#define BILBERRYLEAD_STEERING_V6_KEY_HPP

#include <compare>
#include <cstdint>

namespace bilberrylead::steering
{

/// An IPv6 address as an unsigned 128-bit integer, ordered numerically.
struct v6_key
{
    /// The upper 64 bits.
    std::uint64_t high = 0;
    /// The lower 64 bits.
    std::uint64_t low = 0;

    friend auto operator<=>(v6_key const&, v6_key const&) = default;
};

/// Length of an IPv4 address in bits.
inline constexpr unsigned v4_bits = 32;
/// Length of an IPv6 address in bits.
inline constexpr unsigned v6_bits = 128;

/// Returns the address with all but its first `length` bits cleared; `length`
/// is 0 to 32.
constexpr std::uint32_t truncated(std::uint32_t address, unsigned length)
{
    return length == 0 ? 0U : address & (~std::uint32_t{0} << (32U - length));
}

/// Returns the upper half of an IPv6 address with all but its first `length`
/// bits cleared; `length` is 0 to 64.
constexpr std::uint64_t truncated(std::uint64_t upper, unsigned length)
{
    return length == 0 ? 0U : upper & (~std::uint64_t{0} << (64U - length));
}

/// Returns the address with all but its first `length` bits cleared; `length`
/// is 0 to 128.
constexpr v6_key truncated(v6_key address, unsigned length)
{
    constexpr unsigned half = 64;
    return length <= half
               ? v6_key{truncated(address.high, length), 0}
               : v6_key{address.high, truncated(address.low, length - half)};
}

} // namespace bilberrylead::steering

#endif
