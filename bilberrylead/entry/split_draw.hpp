#ifndef BILBERRYLEAD_ENTRY_SPLIT_DRAW_HPP
#define BILBERRYLEAD_ENTRY_SPLIT_DRAW_HPP

#include <cstdint>

namespace bilberrylead::entry
{

/// How a request on a route with several targets was given to one of them.
struct split_draw
{
    /// The number drawn, 0 to `sum - 1`; targets take their weights' ranges
    /// in the order of the route.
    std::uint32_t drawn = 0;
    /// Sum of the route's weights.
    std::uint32_t sum = 0;
    /// Draws of this process before this one.
    std::uint64_t earlier = 0;
};

} // namespace bilberrylead::entry

#endif
