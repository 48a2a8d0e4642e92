#ifndef BILBERRYLEAD_CONFIG_PARSE_CONFIGURATION_HPP
#define BILBERRYLEAD_CONFIG_PARSE_CONFIGURATION_HPP

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace bilberrylead::config
{

struct configuration;

/// Reads a configuration from JSON with comments, strictly, and sorts its
/// lists by name. Never throws. The error has one line for each fault:
/// source, path, what is wrong, the remedy. Names that refer to each other
/// are `check`'s business.
absl::StatusOr<configuration> parse_configuration(std::string_view text,
                                                  std::string_view source_name);

/// The canonical text: every field, lists sorted by name. Equal
/// configurations give equal texts, and parsing one gives it back.
std::string render_configuration(configuration const& value);

/// Sorts every list by name, as parse_configuration leaves them.
void sort_by_name(configuration& value);

} // namespace bilberrylead::config

#endif
