#ifndef BILBERRYLEAD_PRESENCE_CONTROL_LINKS_HPP
#define BILBERRYLEAD_PRESENCE_CONTROL_LINKS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/link/messages/group_host.hpp"
#include "bilberrylead/presence/control_link_settings.hpp"

#include <set>
#include <vector>

namespace bilberrylead::presence
{

/// The entry host for which control hosts are selected.
struct control_link_query
{
    /// Id of the entry host.
    host_id self;
    /// Its region.
    region_id region;
    /// Hosts that are reported as leader; more than one while updates on a
    /// change of leader are in flight.
    std::set<host_id> leaders;
};

/// Selects the control hosts that an entry host keeps links to: some of its
/// own region and some of each other region, in as many zones as possible, and
/// the reported leaders. In a small group, all of them. Each entry host selects
/// independently by rendezvous hashing, so that all control hosts have about
/// the same number of entry hosts linked to them.
///
/// If every entry host linked to every control host, the heartbeats and
/// keep-alives of hundreds of hosts would reach dozens of hosts and become
/// most of the processes' load. A few links in different zones and regions
/// provide the same (accepted configurations, listings, and being offered to
/// callers): after the loss of a zone or region, an entry host still has links
/// to the others.
std::set<host_id>
choose_control_links(std::vector<link::group_host> const& hosts,
                     control_link_query const& query,
                     control_link_settings const& settings = {});

} // namespace bilberrylead::presence

#endif
