#ifndef BILBERRYLEAD_HTTP_DECIMAL_HEADER_HPP
#define BILBERRYLEAD_HTTP_DECIMAL_HEADER_HPP

#include <optional>
#include <string_view>

namespace bilberrylead::http
{

/// Value of a header that holds one decimal number of 0 or more; empty if the
/// text is not such a number.
std::optional<double> read_decimal(std::string_view text);

} // namespace bilberrylead::http

#endif
