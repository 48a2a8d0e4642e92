#include "bilberrylead/config/address_block.hpp"

#include "bilberrylead/config/decimal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstddef>

namespace bilberrylead::config
{

namespace
{

constexpr std::uint8_t version_4_offset_bits = 96;
constexpr std::array<std::uint8_t, 12> version_4_prefix = {
    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

bool is_version_4(ip_address const& address)
{
    return std::equal(version_4_prefix.begin(), version_4_prefix.end(),
                      address.begin());
}

} // namespace

std::optional<ip_address> parse_ip_address(std::string_view text)
{
    std::string const terminated(text);
    ip_address address{};
    if (inet_pton(AF_INET6, terminated.c_str(), address.data()) == 1)
    {
        return address;
    }
    std::copy(version_4_prefix.begin(), version_4_prefix.end(),
              address.begin());
    if (inet_pton(AF_INET, terminated.c_str(),
                  address.data() + version_4_prefix.size()) == 1)
    {
        return address;
    }
    return std::nullopt;
}

std::optional<address_block> parse_address_block(std::string_view text)
{
    std::size_t const slash = text.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::optional<ip_address> const address =
        parse_ip_address(text.substr(0, slash));
    if (!address.has_value())
    {
        return std::nullopt;
    }
    bool const version_4 = text.find(':') == std::string_view::npos;
    std::uint8_t const offset = version_4 ? version_4_offset_bits : 0;
    std::optional<std::uint64_t> const bits =
        parse_decimal(text.substr(slash + 1), 128U - offset);
    if (!bits.has_value())
    {
        return std::nullopt;
    }
    return address_block{*address, static_cast<std::uint8_t>(*bits + offset)};
}

address_block masked(address_block const& block)
{
    address_block result = block;
    for (std::size_t index = 0; index < result.first.size(); ++index)
    {
        int const kept =
            std::clamp(block.prefix_bits - static_cast<int>(index) * 8, 0, 8);
        unsigned const mask = 0xff00U >> static_cast<unsigned>(kept);
        result.first.at(index) &= static_cast<std::uint8_t>(mask);
    }
    return result;
}

std::string to_string(address_block const& block)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    bool const version_4 =
        is_version_4(block.first) && block.prefix_bits >= version_4_offset_bits;
    if (version_4)
    {
        inet_ntop(AF_INET, block.first.data() + version_4_prefix.size(),
                  text.data(), text.size());
        return fmt::format("{}/{}", text.data(),
                           block.prefix_bits - version_4_offset_bits);
    }
    inet_ntop(AF_INET6, block.first.data(), text.data(), text.size());
    return fmt::format("{}/{}", text.data(), block.prefix_bits);
}

bool contains(address_block const& block, ip_address const& address)
{
    address_block const own{address, block.prefix_bits};
    return masked(own).first == masked(block).first;
}

} // namespace bilberrylead::config
