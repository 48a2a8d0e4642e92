#ifndef BILBERRYLEAD_LINK_THOUSANDTHS_HPP
#define BILBERRYLEAD_LINK_THOUSANDTHS_HPP

#include <cmath>
#include <cstdint>

namespace bilberrylead::link
{

/// Slots and shares go over links as whole thousandths.
inline constexpr double thousandths_in_one = 1000;

/// The nearest number of thousandths; `value` is 0 or more.
inline std::uint32_t to_thousandths(double value)
{
    return static_cast<std::uint32_t>(std::lround(value * thousandths_in_one));
}

/// The value of so many thousandths.
inline double from_thousandths(std::uint32_t count)
{
    return count / thousandths_in_one;
}

} // namespace bilberrylead::link

#endif
