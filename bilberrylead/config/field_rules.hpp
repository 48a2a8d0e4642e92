#ifndef BILBERRYLEAD_CONFIG_FIELD_RULES_HPP
#define BILBERRYLEAD_CONFIG_FIELD_RULES_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/labels.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrylead::config
{

/// What is wrong with a field and how to mend it.
struct field_fault
{
    /// The fault, a whole sentence.
    std::string what;
    /// What to write instead, a whole sentence.
    std::string remedy;
};

/// The range of a whole number, both ends included.
struct number_range
{
    /// Smallest value that is taken.
    std::uint64_t least = 0;
    /// Largest value that is taken.
    std::uint64_t most = 0;
};

/// Names stand in paths, headers, logs and metrics, so they keep to
/// letters, digits, point, hyphen and underscore.
std::optional<field_fault> name_fault(std::string_view text);

/// Secrets stand in headers of callers: 1 to 1024 visible characters. Never
/// shows the text.
std::optional<field_fault> secret_fault(std::string_view text);

/// A number outside its range.
std::optional<field_fault> range_fault(std::uint64_t value,
                                       number_range const& range);

/// An endpoint without IP address or port.
std::optional<field_fault> endpoint_fault(endpoint const& value);

/// The fault of a text that parse_endpoint does not read.
field_fault endpoint_text_fault(std::string_view text);

/// Label keys that are no names, values that are too long.
std::optional<field_fault> labels_fault(labels const& value);

} // namespace bilberrylead::config

#endif
