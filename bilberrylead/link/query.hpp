#ifndef BILBERRYLEAD_LINK_QUERY_HPP
#define BILBERRYLEAD_LINK_QUERY_HPP

#include <map>
#include <string>
#include <string_view>

namespace bilberrylead::link
{

/// A request target cut into its path and the values of its query. Borrows
/// the target.
class query
{
public:
    /// Cuts a target as it stands in a request.
    explicit query(std::string_view target);

    /// What stands before the question mark.
    std::string_view path() const
    {
        return this->before;
    }

    /// True if the query has this name, with or without a value.
    bool has(std::string_view name) const
    {
        return this->values.contains(name);
    }

    /// The value of a name with its %XX undone; empty if there is none.
    std::string text(std::string_view name) const;

    /// The value as it was sent; empty if there is none.
    std::string_view raw(std::string_view name) const;

private:
    std::string_view before;
    std::map<std::string_view, std::string_view> values;
};

} // namespace bilberrylead::link

#endif
