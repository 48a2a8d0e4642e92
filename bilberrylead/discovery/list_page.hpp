#ifndef BILBERRYLEAD_DISCOVERY_LIST_PAGE_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_PAGE_HPP

#include "bilberrylead/discovery/list_changes.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::discovery
{

/// One page of the list of upstreams, decoded.
struct list_page
{
    /// The upstreams on it that could be read.
    std::vector<reported_upstream> upstreams;
    /// Entries that could not be read: they name no upstream to use.
    std::size_t unreadable = 0;
    /// Names the next page; empty on the last one.
    std::string next;

    /// Adds an entry; nothing stands for one that could not be read.
    void add(std::optional<reported_upstream> entry)
    {
        if (entry.has_value())
        {
            this->upstreams.push_back(std::move(*entry));
        }
        else
        {
            ++this->unreadable;
        }
    }
};

} // namespace bilberrylead::discovery

#endif
