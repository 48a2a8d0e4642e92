#include "bilberrylead/http/retry_after_header.hpp"

#include "bilberrylead/http/decimal_header.hpp"

#include <algorithm>
#include <chrono>

namespace bilberrylead::http
{

namespace
{

constexpr std::chrono::duration<double> max_delay = std::chrono::hours(24);

} // namespace

std::optional<duration> read_retry_after(std::string_view text)
{
    std::optional<double> const seconds = read_decimal(text);
    if (!seconds.has_value())
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::min(std::chrono::duration<double>(*seconds), max_delay));
}

} // namespace bilberrylead::http
