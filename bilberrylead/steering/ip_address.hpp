#ifndef BILBERRYLEAD_STEERING_IP_ADDRESS_HPP
#define BILBERRYLEAD_STEERING_IP_ADDRESS_HPP

#include "bilberrylead/steering/v6_key.hpp"

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace bilberrylead::steering
{

/// An IP address of a caller as an integer key for look-ups. An IPv4-mapped
/// IPv6 address (::ffff:192.0.2.1) is converted to the IPv4 address.
class ip_address
{
public:
    /// Creates the address 0.0.0.0.
    ip_address() = default;
    /// Creates an IPv4 address; `v4` is in host byte order.
    explicit ip_address(std::uint32_t v4);
    /// Creates an IPv6 address, or the IPv4 address if it is IPv4-mapped.
    explicit ip_address(v6_key v6);

    /// Parses dotted-decimal IPv4 or the text form of IPv6. Returns
    /// error_kind::bad_value for other text.
    static absl::StatusOr<ip_address> parse(std::string const& text);

    /// Returns the text form that parse() reads.
    std::string to_string() const;
    /// Returns true for an IPv4 address.
    bool is_v4() const;
    /// Returns the IPv4 address in host byte order. Requires is_v4().
    std::uint32_t v4() const;
    /// Returns the IPv6 address. Requires !is_v4().
    v6_key v6() const;

    friend auto operator<=>(ip_address const&, ip_address const&) = default;

private:
    std::variant<std::uint32_t, v6_key> number;
};

} // namespace bilberrylead::steering

#endif
