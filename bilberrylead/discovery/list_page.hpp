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

/// One decoded page of the upstream list.
struct list_page
{
    /// The upstreams on the page that could be decoded.
    std::vector<reported_upstream> upstreams;
    /// Number of entries that could not be decoded.
    std::size_t unreadable = 0;
    /// Identifies the next page; empty on the last page.
    std::string next;

    /// Adds an entry; nullopt if it could not be decoded.
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
