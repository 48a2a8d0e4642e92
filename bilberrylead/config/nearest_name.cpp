#include "bilberrylead/config/nearest_name.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace bilberrylead::config
{

namespace
{

/// Longer names are not compared: the work grows with the square of the
/// length, and no field is that long.
constexpr std::size_t longest_compared = 64;

/// Levenshtein distance: letters added, taken away or replaced.
std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j)
        {
            std::size_t const replaced =
                diagonal + (left[i] == right[j] ? 0U : 1U);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
        }
    }
    return row[right.size()];
}

} // namespace

std::string nearest_name(std::string_view written,
                         std::span<std::string const> known)
{
    if (written.size() > longest_compared)
    {
        return {};
    }
    // Further than half of what was written, it is no slip any more.
    std::size_t best_distance = written.size() / 2 + 1;
    std::string best;
    for (std::string const& name : known)
    {
        std::size_t const distance = edit_distance(written, name);
        if (distance < best_distance)
        {
            best_distance = distance;
            best = name;
        }
    }
    return best;
}

} // namespace bilberrylead::config
