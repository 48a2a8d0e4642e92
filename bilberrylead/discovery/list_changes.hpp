#ifndef BILBERRYLEAD_DISCOVERY_LIST_CHANGES_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_CHANGES_HPP

#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"

#include <optional>
#include <vector>

namespace bilberrylead::discovery
{

/// An upstream as reported by the upstream list or by another process. Times
/// are relative, since the processes' clocks differ.
struct reported_upstream
{
    /// Id, service, zone, address, slots, and whether it is leaving.
    config::upstream upstream;
    /// How much longer it is cold, counted from the time of sending.
    duration cold_remaining{};
    /// Time at which it started, as it states it; empty if it states none.
    std::optional<wall_time> started_at = std::nullopt;
    /// The listing in which its incarnation stood first; zero in a reading.
    list_position incarnation = {};
};

/// A listing, either in full or as the difference from another listing.
struct list_changes
{
    /// The listing that the changes apply to; ignored if `is_full`.
    list_position base;
    /// The listing that results from the changes.
    list_position target;
    /// True if `put` contains every upstream of the listing.
    bool is_full = false;
    /// Upstreams that were added or changed.
    std::vector<reported_upstream> put;
    /// Upstreams that are no longer listed.
    std::vector<upstream_id> removed;
};

} // namespace bilberrylead::discovery

#endif
