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

/// One part of the upstream list while it is being read. Its pages are read in
/// sequence, since each page identifies the next one.
struct list_part
{
    /// The zone whose upstreams are read; empty for all zones.
    zone_id zone;
    /// Number of the call in flight; 0 if there is none.
    std::uint64_t pending_call = 0;
    /// Time at which that call was made.
    instant call_started_at{};
    /// Earliest time of the next call.
    instant not_before{};
    /// The page to request next; empty for the first.
    std::string next_page;
    /// Number of pages read so far.
    std::size_t pages = 0;
    /// Upstreams on these pages.
    std::vector<listed_upstream> upstreams;
    /// True once the last page has been read.
    bool complete = false;

    /// True if its next page may be requested.
    bool is_due(instant now) const
    {
        return !this->complete && this->pending_call == 0 &&
               now >= this->not_before;
    }

    /// Moves on to page `next` after a page was received; empty if that was
    /// the last one. Stops after `max_pages`.
    void advance(std::string const& next, std::size_t max_pages)
    {
        this->pending_call = 0;
        ++this->pages;
        this->next_page = next;
        this->complete = next.empty() || this->pages >= max_pages;
    }

    /// Restarts from the first page, no earlier than `when`.
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
