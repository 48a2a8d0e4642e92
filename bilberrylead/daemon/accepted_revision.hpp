#ifndef BILBERRYLEAD_DAEMON_ACCEPTED_REVISION_HPP
#define BILBERRYLEAD_DAEMON_ACCEPTED_REVISION_HPP

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/core/ids.hpp"

#include <memory>
#include <set>

namespace bilberrylead::daemon
{

/// What one accepted revision says.
struct accepted_revision
{
    /// The configuration; null if nothing but zones was ordered yet.
    std::shared_ptr<config::configuration const> content;
    /// Availability zones whose upstreams get no work.
    std::set<zone_id> closed_zones;
};

} // namespace bilberrylead::daemon

#endif
