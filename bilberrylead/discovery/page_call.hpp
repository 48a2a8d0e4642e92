#ifndef BILBERRYLEAD_DISCOVERY_PAGE_CALL_HPP
#define BILBERRYLEAD_DISCOVERY_PAGE_CALL_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <string>

namespace bilberrylead::discovery
{

/// A request for one page of the upstream list.
struct page_call
{
    /// Identifies the call when its answer arrives.
    std::uint64_t number = 0;
    /// The zone whose upstreams are requested; empty for all zones.
    zone_id zone;
    /// Identifies the page; empty for the first.
    std::string page;
    /// True if an earlier call for the same page is still unanswered. Such a
    /// call needs a connection of its own.
    bool is_hedge = false;
};

} // namespace bilberrylead::discovery

#endif
