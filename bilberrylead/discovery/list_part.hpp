#ifndef BILBERRYLEAD_DISCOVERY_LIST_PART_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_PART_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberrylead::discovery
{

/// One part of the list of upstreams while it is being read: its pages come
/// one after the other, each page naming the next one.
struct list_part
{
    /// Only upstreams of this zone; empty: all of them.
    zone_id zone;
    /// Number of the call under way; 0 if there is none.
    std::uint64_t pending_call = 0;
    /// When that call was made.
    instant call_started_at{};
    /// No call before this.
    instant not_before{};
    /// The page that is asked for next; empty for the first.
    std::string next_page;
    /// Pages read so far.
    std::size_t pages = 0;
    /// What they had.
    std::vector<listed_upstream> upstreams;
    /// True once the last page is here.
    bool complete = false;

    /// True if a call for its next page may be made.
    bool is_due(instant now) const
    {
        return !this->complete && this->pending_call == 0 &&
               now >= this->not_before;
    }

    /// A page came, which names the next one; empty after the last.
    void advance(std::string const& next, std::size_t max_pages)
    {
        this->pending_call = 0;
        ++this->pages;
        this->next_page = next;
        this->complete = next.empty() || this->pages >= max_pages;
    }

    /// Starts from the first page again, no earlier than `when`.
    void restart(instant when)
    {
        this->pending_call = 0;
        this->not_before = when;
        this->next_page.clear();
        this->pages = 0;
        this->upstreams.clear();
        this->complete = false;
    }
};

} // namespace bilberrylead::discovery

#endif
