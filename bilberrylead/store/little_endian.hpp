#ifndef BILBERRYLEAD_STORE_LITTLE_ENDIAN_HPP
#define BILBERRYLEAD_STORE_LITTLE_ENDIAN_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

namespace bilberrylead::store
{

/// Writes `value` at the start of `output`, least significant byte first.
/// `output` must be large enough.
template <std::unsigned_integral Number>
void write_little_endian(std::span<std::uint8_t> output, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i)
    {
        output[i] = static_cast<std::uint8_t>(value >> (8U * i));
    }
}

/// Reads the number that write_little_endian() wrote at the start of `input`.
template <std::unsigned_integral Number>
Number read_little_endian(std::span<std::uint8_t const> input)
{
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i)
    {
        value = static_cast<Number>(value | (Number{input[i]} << (8U * i)));
    }
    return value;
}

} // namespace bilberrylead::store

#endif
