#ifndef BILBERRYLEAD_CONFIG_DECIMAL_HPP
#define BILBERRYLEAD_CONFIG_DECIMAL_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace bilberrylead::config
{

/// Reads a whole number of decimal digits and nothing else, up to `most`;
/// nothing if the text is anything else.
std::optional<std::uint64_t> parse_decimal(std::string_view text,
                                           std::uint64_t most);

} // namespace bilberrylead::config

#endif
