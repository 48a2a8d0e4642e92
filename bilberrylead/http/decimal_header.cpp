#include "bilberrylead/http/decimal_header.hpp"

#include <charconv>
#include <cmath>

namespace bilberrylead::http
{

std::optional<double> read_decimal(std::string_view text)
{
    double number = 0;
    std::from_chars_result const read =
        std::from_chars(text.data(), text.data() + text.size(), number,
                        std::chars_format::fixed);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size() ||
        !std::isfinite(number) || number < 0)
    {
        return std::nullopt;
    }
    return number;
}

} // namespace bilberrylead::http
