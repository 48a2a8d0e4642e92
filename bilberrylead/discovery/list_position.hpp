#ifndef BILBERRYLEAD_DISCOVERY_LIST_POSITION_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_POSITION_HPP

#include <compare>
#include <cstdint>

namespace bilberrylead::discovery
{

/// Orders the listings that the readers of the upstream list produce. The term
/// is the fencing token: a reader that was replaced while it was frozen sends
/// listings of its old term, which every process rejects.
struct list_position
{
    /// Term of the leader that read the list; 0 if it was never read.
    std::uint64_t term = 0;
    /// Number of the listing within the term.
    std::uint64_t number = 0;

    friend auto operator<=>(list_position const&,
                            list_position const&) = default;
};

} // namespace bilberrylead::discovery

#endif
