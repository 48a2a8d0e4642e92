#ifndef BILBERRYLEAD_CONFIG_JSON_TEXT_HPP
#define BILBERRYLEAD_CONFIG_JSON_TEXT_HPP

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>

namespace bilberrylead::config
{

class error_list;

/// Reads JSON with comments. Never throws: faults of the syntax, fields
/// that stand twice and nesting that no known text has go to the list.
/// Nothing if the text has no single reading.
std::optional<nlohmann::json> parse_json(std::string_view text,
                                         error_list& errors);

} // namespace bilberrylead::config

#endif
