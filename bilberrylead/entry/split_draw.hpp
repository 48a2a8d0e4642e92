#ifndef BILBERRYLEAD_ENTRY_SPLIT_DRAW_HPP
#define BILBERRYLEAD_ENTRY_SPLIT_DRAW_HPP

#include <cstdint>
#include <string>

namespace bilberrylead::entry
{

/// Draw that assigned a request to one target of a route with several.
struct split_draw
{
    /// Random number from 0 to `sum - 1`; the targets cover consecutive ranges
    /// of the size of their weights, in the order of the route.
    std::uint32_t drawn = 0;
    /// Sum of the weights of the route.
    std::uint32_t sum = 0;
    /// Number of earlier draws of this process.
    std::uint64_t earlier = 0;
    /// Host and path prefix of the route.
    std::string route;
};

} // namespace bilberrylead::entry

#endif
