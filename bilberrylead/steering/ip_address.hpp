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

/// A caller's address in the form that look-ups take: IPv4 as a number,
/// IPv6 as two. An IPv4 address that came in IPv6 form (::ffff:192.0.2.1)
/// is an IPv4 address.
class ip_address
{
public:
    /// The address 0.0.0.0.
    ip_address() = default;
    /// An IPv4 address, in host byte order.
    explicit ip_address(std::uint32_t v4);
    /// An IPv6 address.
    explicit ip_address(v6_key v6);

    /// Reads the usual text form.
    static absl::StatusOr<ip_address> parse(std::string const& text);

    /// The usual text form.
    std::string to_string() const;
    /// True for IPv4.
    bool is_v4() const;
    /// The IPv4 number; only if is_v4().
    std::uint32_t v4() const;
    /// The IPv6 number; only if not is_v4().
    v6_key v6() const;

    friend auto operator<=>(ip_address const&, ip_address const&) = default;

private:
    std::variant<std::uint32_t, v6_key> number;
};

} // namespace bilberrylead::steering

#endif
