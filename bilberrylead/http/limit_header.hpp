#ifndef BILBERRYLEAD_HTTP_LIMIT_HEADER_HPP
#define BILBERRYLEAD_HTTP_LIMIT_HEADER_HPP

#include <optional>
#include <string_view>

namespace bilberrylead::http
{

/// Requests a second that an upstream says it takes: a decimal number, 0 or
/// more; nothing if the text is not one.
std::optional<double> read_limit(std::string_view text);

} // namespace bilberrylead::http

#endif
