#ifndef BILBERRYLEAD_DISCOVERY_PAGE_CALL_HPP
#define BILBERRYLEAD_DISCOVERY_PAGE_CALL_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <string>

namespace bilberrylead::discovery
{

/// Ask for one page of the list of upstreams.
struct page_call
{
    /// Number of the call, for its answer.
    std::uint64_t number = 0;
    /// Only upstreams of this zone; empty: all of them.
    zone_id zone;
    /// Names the page; empty for the first.
    std::string page;
};

} // namespace bilberrylead::discovery

#endif
