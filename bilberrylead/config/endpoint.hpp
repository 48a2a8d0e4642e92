#ifndef BILBERRYLEAD_CONFIG_ENDPOINT_HPP
#define BILBERRYLEAD_CONFIG_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <string>

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

} // namespace bilberrylead::config

#endif
