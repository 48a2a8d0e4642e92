#include "bilberrylead/http/load_header.hpp"

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::http
{

namespace
{

/// Number of figures that every report has: running, waiting and slots.
constexpr std::size_t load_figures = 3;
constexpr std::size_t max_figures = load_figures + 1;
constexpr std::uint32_t max_run_time_percent = 100'000;

} // namespace

std::optional<entry::upstream_load> read_load(std::string_view text)
{
    std::array<std::uint32_t, max_figures> figures{};
    char const* const end = text.data() + text.size();
    char const* place = text.data();
    std::size_t count = 0;
    bool is_separated = true;
    while (is_separated && count < figures.size())
    {
        std::from_chars_result const read =
            std::from_chars(place, end, figures.at(count));
        if (read.ec != std::errc{})
        {
            return std::nullopt;
        }
        ++count;
        is_separated = read.ptr != end && *read.ptr == ',';
        place = is_separated ? read.ptr + 1 : read.ptr;
    }
    if (is_separated || place != end || count < load_figures)
    {
        return std::nullopt;
    }
    entry::upstream_load load{figures[0], figures[1], std::nullopt};
    if (count == max_figures)
    {
        std::uint32_t const percent = figures[load_figures];
        if (percent == 0 || percent > max_run_time_percent)
        {
            return std::nullopt;
        }
        load.run_time_percent = percent;
    }
    return load;
}

} // namespace bilberrylead::http
