#ifndef BILBERRYLEAD_PRESENCE_CONTROL_LINKS_HPP
#define BILBERRYLEAD_PRESENCE_CONTROL_LINKS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/link/messages/group_host.hpp"
#include "bilberrylead/presence/control_link_settings.hpp"

#include <set>
#include <vector>

namespace bilberrylead::presence
{

/// What an entry host asks: which control hosts it keeps links to.
struct control_link_query
{
    /// This entry host.
    host_id self;
    /// Its region.
    region_id region;
    /// Who is said to lead the group; more than one while news of a change
    /// is under way.
    std::set<host_id> leaders;
};

/// The control hosts that an entry host keeps links to: some of its own
/// region, some of each other one, in as many zones as there are, and
/// whoever leads. Of a small group all of them. Entry hosts choose apart
/// from each other (rendezvous hashing), so that each control host hears
/// about as many of them as the next one.
///
/// Load it answers: with a link from every entry host to every control host
/// a heartbeat and a keep-alive of hundreds of hosts reach dozens, and most
/// of what the processes do is to tell each other that they are there.
/// What a link is for (accepted configurations, listings, being named to
/// callers) a few of them in different places give as well: a lost zone or
/// region leaves an entry host with links to the others.
std::set<host_id>
choose_control_links(std::vector<link::group_host> const& hosts,
                     control_link_query const& query,
                     control_link_settings const& settings = {});

} // namespace bilberrylead::presence

#endif
