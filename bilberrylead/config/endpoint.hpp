#ifndef BILBERRYLEAD_CONFIG_ENDPOINT_HPP
#define BILBERRYLEAD_CONFIG_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrylead::config
{

/// An IP address (never a name: a lookup could hang) and a TCP port.
struct endpoint
{
    /// IPv4 or IPv6 address in its usual text form.
    std::string address;
    /// TCP port, 1 to 65535.
    std::uint16_t port = 0;

    friend auto operator<=>(endpoint const&, endpoint const&) = default;
};

/// Reads 192.0.2.1:80 or [2001:db8::1]:80; nothing if it is neither.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// The form that parse_endpoint reads.
std::string to_string(endpoint const& value);

/// True if the address is an IP address in the form that to_string keeps
/// and the port is not 0.
bool is_valid(endpoint const& value);

} // namespace bilberrylead::config

#endif
