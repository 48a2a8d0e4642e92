#ifndef BILBERRYLEAD_ENTRY_SPLIT_PART_HPP
#define BILBERRYLEAD_ENTRY_SPLIT_PART_HPP

#include "bilberrylead/core/ids.hpp"

#include <compare>
#include <string>

namespace bilberrylead::entry
{

/// One target of a route with several.
struct split_part
{
    /// Host and path prefix of the route.
    std::string route;
    /// Service of the target.
    service_id service;

    friend auto operator<=>(split_part const&, split_part const&) = default;
};

} // namespace bilberrylead::entry

#endif
