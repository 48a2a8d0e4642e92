#ifndef BILBERRYLEAD_CONFIG_CONFIGURATION_LISTS_HPP
#define BILBERRYLEAD_CONFIG_CONFIGURATION_LISTS_HPP

#include "bilberrylead/config/configuration.hpp"

#include <string>
#include <utility>
#include <vector>

/// The lists of a configuration as sets of named elements, for comparing
/// and merging two of them.
namespace bilberrylead::config
{

/// What an element is known by within its list; most have one name, a link
/// has two. Orders elements as sort_by_name does.
using element_key = std::pair<std::string, std::string>;

/// The key of each kind of element.
inline element_key key_of(service const& value)
{
    return {value.id.text(), {}};
}
/// @copydoc key_of
inline element_key key_of(place const& value)
{
    return {value.zone.text(), {}};
}
/// @copydoc key_of
inline element_key key_of(region_link const& value)
{
    return {value.from.text(), value.to.text()};
}
/// @copydoc key_of
inline element_key key_of(entry_host const& value)
{
    return {value.id.text(), {}};
}
/// @copydoc key_of
inline element_key key_of(upstream const& value)
{
    return {value.id.text(), {}};
}
/// @copydoc key_of
inline element_key key_of(selector const& value)
{
    return {value.name, {}};
}
/// @copydoc key_of
inline element_key key_of(caller_block const& value)
{
    return {value.block, {}};
}

/// @copydoc key_of
inline element_key key_of(customer const& value)
{
    return {value.id.text(), {}};
}

/// @copydoc key_of
inline element_key key_of(request_route const& value)
{
    return {value.host, value.path_prefix};
}

/// Calls visit(name, member) for every list; `member` is a pointer to a
/// configuration's member.
template <class Visit>
void for_each_list(Visit visit)
{
    visit("services", &configuration::services);
    visit("places", &configuration::places);
    visit("links", &configuration::links);
    visit("entry_hosts", &configuration::entry_hosts);
    visit("upstreams", &configuration::upstreams);
    visit("selectors", &configuration::selectors);
    visit("callers", &configuration::callers);
    visit("request_routes", &configuration::request_routes);
    visit("customers", &configuration::customers);
}

/// Walks two sorted lists side by side and calls see(before, after) for
/// every element that differs; the missing side is null.
template <class Element, class See>
void for_each_difference(std::vector<Element> const& before,
                         std::vector<Element> const& after, See see)
{
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end())
    {
        bool const only_left =
            right == after.end() ||
            (left != before.end() && key_of(*left) < key_of(*right));
        bool const only_right = !only_left && (left == before.end() ||
                                               key_of(*right) < key_of(*left));
        Element const* const old = only_right ? nullptr : &*left++;
        Element const* const current = only_left ? nullptr : &*right++;
        bool const equal =
            old != nullptr && current != nullptr && *old == *current;
        if (!equal)
        {
            see(old, current);
        }
    }
}

} // namespace bilberrylead::config

#endif
