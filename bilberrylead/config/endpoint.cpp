#include "bilberrylead/config/endpoint.hpp"

#include "bilberrylead/config/address_block.hpp"
#include "bilberrylead/config/decimal.hpp"

#include <fmt/format.h>

#include <cstddef>

namespace bilberrylead::config
{

namespace
{

constexpr std::uint64_t largest_port = 65'535;

/// Takes the square brackets off an IPv6 address; nothing if brackets and
/// address family do not fit together.
std::optional<std::string_view> strip_brackets(std::string_view text)
{
    bool const bracketed = text.starts_with('[') && text.ends_with(']');
    if (bracketed)
    {
        text = text.substr(1, text.size() - 2);
    }
    bool const version_6 = text.find(':') != std::string_view::npos;
    if (version_6 != bracketed)
    {
        return std::nullopt;
    }
    return text;
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::optional<std::uint64_t> const port =
        parse_decimal(text.substr(colon + 1), largest_port);
    std::optional<std::string_view> const address =
        strip_brackets(text.substr(0, colon));
    if (port.value_or(0) == 0 || !address.has_value() ||
        !parse_ip_address(*address).has_value())
    {
        return std::nullopt;
    }
    return endpoint{std::string(*address), static_cast<std::uint16_t>(*port)};
}

std::string to_string(endpoint const& value)
{
    if (value.address.find(':') != std::string::npos)
    {
        return fmt::format("[{}]:{}", value.address, value.port);
    }
    return fmt::format("{}:{}", value.address, value.port);
}

bool is_valid(endpoint const& value)
{
    return value.port != 0 && parse_ip_address(value.address).has_value();
}

} // namespace bilberrylead::config
