#include "bilberrylead/load/percentiles.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>

namespace bilberrylead::load
{

duration percentile(std::span<duration const> sorted, double share)
{
    assert(std::is_sorted(sorted.begin(), sorted.end()));
    if (sorted.empty())
    {
        return {};
    }
    double const rank = std::ceil(share * static_cast<double>(sorted.size()));
    std::size_t const index = static_cast<std::size_t>(std::max(rank, 1.0));
    return sorted[std::min(index, sorted.size()) - 1];
}

} // namespace bilberrylead::load
