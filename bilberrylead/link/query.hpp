#ifndef BILBERRYLEAD_LINK_QUERY_HPP
#define BILBERRYLEAD_LINK_QUERY_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

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

/// One name of a query with its value.
struct query_value
{
    /// As the called side names it.
    std::string_view name;
    /// As it is meant; it is escaped where it is put into a target.
    std::string value;
};

/// The target that asks for a path with these values; those that are empty
/// are left out.
std::string target_with_query(std::string_view path,
                              std::vector<query_value> const& values);

} // namespace bilberrylead::link

#endif
