#include "bilberrylead/http/load_header.hpp"

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::http
{

std::optional<entry::upstream_load> read_load(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers{};
    char const* place = text.data();
    char const* const end = text.data() + text.size();
    for (std::size_t index = 0; index < numbers.size(); ++index)
    {
        std::from_chars_result const read =
            std::from_chars(place, end, numbers.at(index));
        bool const last = index + 1 == numbers.size();
        bool const separated =
            last ? read.ptr == end : read.ptr != end && *read.ptr == ',';
        if (read.ec != std::errc{} || !separated)
        {
            return std::nullopt;
        }
        place = read.ptr + 1;
    }
    return entry::upstream_load{numbers[0], numbers[1]};
}

} // namespace bilberrylead::http
