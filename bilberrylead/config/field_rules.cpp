#include "bilberrylead/config/field_rules.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

namespace bilberrylead::config
{

namespace
{

/// As long as a DNS label; metrics and logs stay readable.
constexpr std::size_t longest_name = 63;
constexpr std::size_t longest_label_value = 253;
constexpr std::size_t longest_secret = 1024;

/// Enough of a wrong value to find it; a megabyte of it helps nobody.
constexpr std::size_t longest_quoted = 40;

bool is_name_letter(char letter)
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
           letter == '.';
}

std::string quoted(std::string_view text)
{
    bool const cut = text.size() > longest_quoted;
    return fmt::format("\"{}{}\"", text.substr(0, longest_quoted),
                       cut ? "..." : "");
}

} // namespace

std::optional<field_fault> name_fault(std::string_view text)
{
    bool const valid = !text.empty() && text.size() <= longest_name &&
                       std::all_of(text.begin(), text.end(), is_name_letter);
    if (valid)
    {
        return std::nullopt;
    }
    return field_fault{
        fmt::format("{} is no name.", quoted(text)),
        fmt::format("Use 1 to {} letters, digits, '-', '_' or '.'.",
                    longest_name)};
}

std::optional<field_fault> secret_fault(std::string_view text)
{
    bool const visible = std::all_of(text.begin(), text.end(),
                                     [](char letter)
                                     {
                                         return letter > ' ' && letter <= '~';
                                     });
    if (!text.empty() && text.size() <= longest_secret && visible)
    {
        return std::nullopt;
    }
    return field_fault{
        visible ? fmt::format("The key has {} characters.", text.size())
                : "The key has characters that no header may hold.",
        fmt::format("Use 1 to {} visible ASCII characters, no space.",
                    longest_secret)};
}

std::optional<field_fault> range_fault(std::uint64_t value,
                                       number_range const& range)
{
    if (value >= range.least && value <= range.most)
    {
        return std::nullopt;
    }
    return field_fault{fmt::format("{} is out of range.", value),
                       fmt::format("Write a whole number from {} to {}.",
                                   range.least, range.most)};
}

field_fault endpoint_text_fault(std::string_view text)
{
    return field_fault{
        fmt::format("{} is no IP address with a port.", quoted(text)),
        "Write 192.0.2.1:8080 or [2001:db8::1]:8080."};
}

std::optional<field_fault> endpoint_fault(endpoint const& value)
{
    if (is_valid(value))
    {
        return std::nullopt;
    }
    return endpoint_text_fault(to_string(value));
}

std::optional<field_fault> labels_fault(labels const& value)
{
    for (labels::value_type const& label : value)
    {
        std::optional<field_fault> fault = name_fault(label.first);
        if (fault.has_value())
        {
            return fault;
        }
        if (label.second.size() > longest_label_value)
        {
            return field_fault{
                fmt::format("The value of label {} is too long.",
                            quoted(label.first)),
                fmt::format("Use {} bytes at most.", longest_label_value)};
        }
    }
    return std::nullopt;
}

} // namespace bilberrylead::config
