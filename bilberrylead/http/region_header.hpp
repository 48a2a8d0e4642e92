#ifndef BILBERRYLEAD_HTTP_REGION_HEADER_HPP
#define BILBERRYLEAD_HTTP_REGION_HEADER_HPP

#include "bilberrylead/core/ids.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bilberrylead::http
{

/// Writes regions as the value of a header, separated by commas.
std::string write_regions(std::vector<region_id> const& regions);

/// Reads what `write_regions` has written; spaces around regions and empty ones
/// are ignored.
std::vector<region_id> read_regions(std::string_view text);

} // namespace bilberrylead::http

#endif
