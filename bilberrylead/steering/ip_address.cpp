#include "bilberrylead/steering/ip_address.hpp"

#include "bilberrylead/core/error.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <cassert>

namespace bilberrylead::steering
{

namespace
{

std::uint64_t read_network_order(std::uint8_t const* input)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < sizeof(number); ++i)
    {
        number = (number << 8U) | input[i];
    }
    return number;
}

void write_network_order(std::uint64_t number, std::uint8_t* output)
{
    for (std::size_t i = sizeof(number); i-- > 0; number >>= 8U)
    {
        output[i] = static_cast<std::uint8_t>(number);
    }
}

} // namespace

ip_address::ip_address(std::uint32_t v4) : number(v4)
{
}

ip_address::ip_address(v6_key v6) : number(v6)
{
    constexpr std::uint64_t mapped_v4 = 0xFFFF;
    if (v6.high == 0 && v6.low >> v4_bits == mapped_v4)
    {
        this->number = static_cast<std::uint32_t>(v6.low);
    }
}

absl::StatusOr<ip_address> ip_address::parse(std::string const& text)
{
    in_addr v4{};
    if (::inet_pton(AF_INET, text.c_str(), &v4) == 1)
    {
        return ip_address(ntohl(v4.s_addr));
    }
    std::array<std::uint8_t, 16> v6{};
    if (::inet_pton(AF_INET6, text.c_str(), v6.data()) == 1)
    {
        return ip_address(v6_key{read_network_order(v6.data()),
                                 read_network_order(v6.data() + 8)});
    }
    return make_error(error_kind::bad_value,
                      fmt::format("\"{}\" is not an IP address.", text),
                      "Use a form such as 192.0.2.1 or 2001:db8::1.");
}

std::string ip_address::to_string() const
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (this->is_v4())
    {
        in_addr const address{htonl(this->v4())};
        ::inet_ntop(AF_INET, &address, text.data(), text.size());
        return text.data();
    }
    std::array<std::uint8_t, 16> address{};
    write_network_order(this->v6().high, address.data());
    write_network_order(this->v6().low, address.data() + 8);
    ::inet_ntop(AF_INET6, address.data(), text.data(), text.size());
    return text.data();
}

bool ip_address::is_v4() const
{
    return std::holds_alternative<std::uint32_t>(this->number);
}

std::uint32_t ip_address::v4() const
{
    assert(this->is_v4());
    return *std::get_if<std::uint32_t>(&this->number);
}

v6_key ip_address::v6() const
{
    assert(!this->is_v4());
    return *std::get_if<v6_key>(&this->number);
}

} // namespace bilberrylead::steering
