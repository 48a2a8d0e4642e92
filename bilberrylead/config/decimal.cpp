#include "bilberrylead/config/decimal.hpp"

#include <charconv>
#include <system_error>

namespace bilberrylead::config
{

std::optional<std::uint64_t> parse_decimal(std::string_view text,
                                           std::uint64_t most)
{
    std::uint64_t value = 0;
    char const* const end = text.end();
    std::from_chars_result const result =
        std::from_chars(text.begin(), end, value);
    bool const whole = result.ec == std::errc() && result.ptr == end;
    if (!whole || value > most)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace bilberrylead::config
