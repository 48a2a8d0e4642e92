#ifndef BILBERRYLEAD_LOAD_BEAST_TEXT_HPP
#define BILBERRYLEAD_LOAD_BEAST_TEXT_HPP

#include <boost/beast/core/string.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace bilberrylead::load
{

/// The library keeps a string_view type of its own.
inline boost::beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

/// The other way round.
inline std::string_view from_beast(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// A header field's value, empty if the message has none.
template <class Message>
std::string field_of(Message const& message, std::string_view name)
{
    return std::string(message[to_beast(name)]);
}

/// A request target in its two parts.
struct target_parts
{
    /// What stands before the question mark.
    std::string_view path;
    /// What stands after it.
    std::string_view query;
};

/// Splits a target, which must outlive the parts.
inline target_parts split_target(std::string_view target)
{
    std::size_t const mark = target.find('?');
    if (mark == std::string_view::npos)
    {
        return {target, {}};
    }
    return {target.substr(0, mark), target.substr(mark + 1)};
}

} // namespace bilberrylead::load

#endif
