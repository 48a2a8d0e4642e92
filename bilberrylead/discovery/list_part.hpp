#ifndef BILBERRYLEAD_DISCOVERY_LIST_PART_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_PART_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/listed_upstream.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
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
    /// Number of a second call for the same page; 0 if there is none.
    std::uint64_t hedge_call = 0;
    /// Time at which the second call was made.
    instant hedge_started_at{};
    /// Calls that have failed since the last answer.
    unsigned failures = 0;
    /// Earliest time of the next call.
    instant not_before{};
    /// The page to request next; empty for the first.
    std::string next_page;
    /// Number of pages read so far.
    std::size_t pages = 0;
    /// Entries on these pages that could not be decoded.
    std::size_t unreadable = 0;
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

    /// True if it waits for the answer to that call.
    bool waits_for(std::uint64_t call) const
    {
        return call != 0 &&
               (this->pending_call == call || this->hedge_call == call);
    }

    /// True if the call in flight should be made a second time.
    bool needs_hedge(instant now, duration delay) const
    {
        return this->pending_call != 0 && this->hedge_call == 0 &&
               now >= this->call_started_at + delay;
    }

    /// Gives up a call. Returns true if no other call for the page is in
    /// flight.
    bool drop_call(std::uint64_t call)
    {
        if (this->hedge_call == call)
        {
            this->hedge_call = 0;
            return this->pending_call == 0;
        }
        this->pending_call = std::exchange(this->hedge_call, 0);
        this->call_started_at = this->hedge_started_at;
        return this->pending_call == 0;
    }

    /// Moves on to page `next` after a page was received; empty if that was
    /// the last one. Stops after `max_pages`.
    void advance(std::string const& next, std::size_t max_pages)
    {
        this->pending_call = 0;
        this->hedge_call = 0;
        this->failures = 0;
        ++this->pages;
        this->next_page = next;
        this->complete = next.empty() || this->pages >= max_pages;
    }

    /// Restarts from the first page, no earlier than `when`.
    void restart(instant when)
    {
        this->pending_call = 0;
        this->hedge_call = 0;
        this->not_before = when;
        this->next_page.clear();
        this->pages = 0;
        this->unreadable = 0;
        this->upstreams.clear();
        this->complete = false;
    }
};

} // namespace bilberrylead::discovery

#endif
