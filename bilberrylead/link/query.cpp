#include "bilberrylead/link/query.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace bilberrylead::link
{

namespace
{

/// Letters that stand for themselves in a target (RFC 3986).
bool is_unreserved(char letter)
{
    constexpr std::string_view marks = "-._~";
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           marks.find(letter) != std::string_view::npos;
}

} // namespace

query::query(std::string_view target)
{
    std::size_t const mark = target.find('?');
    this->before = target.substr(0, mark);
    if (mark == std::string_view::npos)
    {
        return;
    }
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty())
    {
        std::string_view const part = rest.substr(0, rest.find('&'));
        std::size_t const equals = part.find('=');
        std::string_view const value = equals == std::string_view::npos
                                           ? std::string_view{}
                                           : part.substr(equals + 1);
        this->values.emplace(part.substr(0, equals), value);
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    }
}

std::string_view query::raw(std::string_view name) const
{
    auto const found = this->values.find(name);
    return found == this->values.end() ? std::string_view{} : found->second;
}

std::string query::text(std::string_view name) const
{
    std::string_view const value = this->raw(name);
    std::string result;
    for (std::size_t place = 0; place < value.size(); ++place)
    {
        unsigned code = 0;
        bool const escaped = value[place] == '%' && value.size() - place > 2;
        if (escaped)
        {
            char const* const first = value.data() + place + 1;
            std::from_chars_result const read =
                std::from_chars(first, first + 2, code, 16);
            if (read.ec == std::errc{} && read.ptr == first + 2)
            {
                result.push_back(static_cast<char>(code));
                place += 2;
                continue;
            }
        }
        result.push_back(value[place]);
    }
    return result;
}

std::string target_with_query(std::string_view path,
                              std::vector<query_value> const& values)
{
    std::string target(path);
    char separator = '?';
    for (query_value const& each : values)
    {
        if (each.value.empty())
        {
            continue;
        }
        target += separator;
        target += each.name;
        target += '=';
        for (char const letter : each.value)
        {
            if (is_unreserved(letter))
            {
                target += letter;
            }
            else
            {
                target +=
                    fmt::format("%{:02X}", static_cast<unsigned char>(letter));
            }
        }
        separator = '&';
    }
    return target;
}

} // namespace bilberrylead::link
