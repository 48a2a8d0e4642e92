#ifndef BILBERRYLEAD_HTTP_LOAD_HEADER_HPP
#define BILBERRYLEAD_HTTP_LOAD_HEADER_HPP

#include "bilberrylead/entry/upstream_load.hpp"

#include <optional>
#include <string_view>

namespace bilberrylead::http
{

/// Load in the header of an upstream's answer: running and waiting requests and
/// slots, separated by commas. A fourth figure may follow: the time that work
/// takes at this moment, in percent of the usual time, 1 to 100,000. Empty if
/// the text is anything else.
std::optional<entry::upstream_load> read_load(std::string_view text);

} // namespace bilberrylead::http

#endif
