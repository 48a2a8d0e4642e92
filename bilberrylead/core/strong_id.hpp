#ifndef BILBERRYLEAD_CORE_STRONG_ID_HPP
#define BILBERRYLEAD_CORE_STRONG_ID_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace bilberrylead
{

/// An identifier with a distinct type for each kind of object, so that passing
/// an upstream id where a host id is expected does not compile. Owns its text;
/// an empty text means "none".
template <class Tag>
class strong_id
{
public:
    /// Makes the empty id.
    strong_id() = default;

    /// Makes an id from its text, as written in settings.
    explicit strong_id(std::string text) : value(std::move(text))
    {
    }

    /// The text of the id, as written in settings.
    std::string const& text() const
    {
        return this->value;
    }

    /// True for the empty id, which identifies nothing.
    bool empty() const
    {
        return this->value.empty();
    }

    friend auto operator<=>(strong_id const&, strong_id const&) = default;

private:
    std::string value;
};

} // namespace bilberrylead

template <class Tag>
struct std::hash<bilberrylead::strong_id<Tag>>
{
    std::size_t operator()(bilberrylead::strong_id<Tag> const& id) const
    {
        return std::hash<std::string>{}(id.text());
    }
};

#endif
