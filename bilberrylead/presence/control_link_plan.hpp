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

/// Which control hosts one entry host keeps links to, by what those that are
/// linked say. Few of them as a rule (see choose_control_links); all of
/// them, and the seeds, while nobody names a leader.
///
/// Failure it answers: a cut leaves an entry host linked to control hosts
/// that are cut off themselves. It would serve an old configuration for as
/// long as the cut lasts. A cut-off control host knows no leader and says
/// so, so that the entry host looks for others.
class control_link_plan
{
public:
    /// The plan of an entry host in that region, without links yet.
    control_link_plan(host_id self, region_id region,
                      control_link_settings const& settings = {});

    /// The control host behind a link names the hosts of its group.
    void group_received(std::uint64_t link,
                        std::vector<link::group_host> const& reported_hosts);

    /// It names the leader; an empty name: it knows none.
    void leader_received(std::uint64_t link, host_id const& leader,
                         instant now);

    /// The link is gone. What it named stays until another one is heard: a
    /// process that lost all of its links still has to know whom to call.
    void link_closed(std::uint64_t link);

    /// True if no linked control host has named a leader for too long.
    bool is_searching(instant now) const;

    /// The control hosts to keep links to.
    std::set<host_id> desired_links(instant now) const;

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
