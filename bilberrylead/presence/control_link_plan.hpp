#ifndef BILBERRYLEAD_PRESENCE_CONTROL_LINK_PLAN_HPP
#define BILBERRYLEAD_PRESENCE_CONTROL_LINK_PLAN_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/messages/group_host.hpp"
#include "bilberrylead/presence/control_link_settings.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bilberrylead::presence
{

/// Plans which control hosts an entry host keeps links to, based on the group
/// and leader that the linked control hosts report. Normally these are a few
/// (see choose_control_links). While no linked host reports a leader, the plan
/// contains all control hosts, and the entry host connects to its seeds too.
///
/// After a network partition an entry host may be linked only to control hosts
/// that are cut off themselves, and would serve an old configuration for as
/// long as the partition lasts. A cut-off control host reports that it has no
/// leader, and the entry host then searches for others.
class control_link_plan
{
public:
    /// Makes the plan for entry host `self` in `region`, without links.
    control_link_plan(host_id self, region_id region,
                      control_link_settings const& settings = {});

    /// Records the control hosts of the group, as reported over a link.
    void group_received(std::uint64_t link,
                        std::vector<link::group_host> const& reported_hosts);

    /// Records the leader reported over a link; empty if the control host
    /// has none.
    void leader_received(std::uint64_t link, host_id const& leader,
                         instant now);

    /// Removes a closed link. The hosts that it reported are kept until an
    /// open link reports the group: a process that has lost all of its links
    /// must still have hosts to connect to.
    void link_closed(std::uint64_t link);

    /// True if no control host has been reported yet, or if no linked control
    /// host has reported a leader for `search_after`.
    bool is_searching(instant now) const;

    /// Returns the control hosts to keep links to.
    std::set<host_id> desired_links(instant now) const;

    /// Returns those of the linked control hosts that pass the reports of this
    /// host, which is in `zone`, on to the other entry hosts.
    std::set<host_id> report_links(std::vector<host_id> const& linked_hosts,
                                   zone_id const& zone) const;

private:
    std::set<host_id> leaders() const;
    std::vector<link::group_host> all_hosts() const;

    host_id self;
    region_id region;
    control_link_settings settings;
    std::map<std::uint64_t, std::vector<link::group_host>> hosts_by_link;
    std::map<std::uint64_t, host_id> leader_by_link;
    instant leader_lost_at{};
};

} // namespace bilberrylead::presence

#endif
