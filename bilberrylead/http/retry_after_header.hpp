#ifndef BILBERRYLEAD_HTTP_RETRY_AFTER_HEADER_HPP
#define BILBERRYLEAD_HTTP_RETRY_AFTER_HEADER_HPP

#include "bilberrylead/core/time.hpp"

#include <optional>
#include <string_view>

namespace bilberrylead::http
{

/// Delay in the Retry-After header of an upstream: seconds, 0 or more, with an
/// optional fraction. Delays of more than a day are returned as a day. Empty
/// if the text is not such a number; dates are not read, since the clocks of
/// upstreams and hosts may differ.
std::optional<duration> read_retry_after(std::string_view text);

} // namespace bilberrylead::http

#endif
