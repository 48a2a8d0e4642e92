#ifndef BILBERRYLEAD_DISCOVERY_LIST_PAGE_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_PAGE_HPP

#include "bilberrylead/discovery/list_changes.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace bilberrylead::discovery
{

/// One page of the list of upstreams, decoded.
struct list_page
{
    /// The upstreams on it that could be read.
    std::vector<told_upstream> upstreams;
    /// Entries that could not be read: they name no upstream to use.
    std::size_t unreadable = 0;
    /// Names the next page; empty on the last one.
    std::string next;
};

} // namespace bilberrylead::discovery

#endif
