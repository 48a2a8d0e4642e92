#ifndef BILBERRYLEAD_DISCOVERY_LIST_CHANGES_HPP
#define BILBERRYLEAD_DISCOVERY_LIST_CHANGES_HPP

#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_position.hpp"

#include <vector>

namespace bilberrylead::discovery
{

/// An upstream as one process tells another of it.
struct reported_upstream
{
    /// As listed_upstream has it.
    config::upstream upstream;
    /// How much longer it is cold, when this was sent.
    duration cold_remaining{};
};

/// Brings a listing: what changed since another one, or all of it.
struct list_changes
{
    /// The listing that it starts from; ignored if `whole`.
    list_position base;
    /// The listing that it leads to.
    list_position target;
    /// True if it holds every upstream.
    bool is_full = false;
    /// Upstreams that are new or differ.
    std::vector<reported_upstream> put;
    /// Upstreams that are listed no more.
    std::vector<upstream_id> removed;
};

} // namespace bilberrylead::discovery

#endif
