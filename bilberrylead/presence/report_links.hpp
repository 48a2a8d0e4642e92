#ifndef BILBERRYLEAD_PRESENCE_REPORT_LINKS_HPP
#define BILBERRYLEAD_PRESENCE_REPORT_LINKS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/link/messages/group_host.hpp"

#include <cstddef>
#include <set>
#include <vector>

namespace bilberrylead::presence
{

/// Number of control hosts that a report to the other entry hosts is sent to.
constexpr std::size_t report_paths = 2;

/// Selects the control hosts that pass the reports of entry host `self` on to
/// the other entry hosts: at most `report_paths` of the linked ones. The first
/// is in the zone of `self`, or else in its region, so that the entry hosts of
/// a zone that is cut off hear each other; the second is in another region.
///
/// A control host that is frozen or cut off keeps its links open for seconds,
/// in which the reports sent to it are lost. Within a zone or region, entry
/// hosts select by rendezvous hashing, so that the failure of one control host
/// concerns few of them.
std::set<host_id>
choose_report_links(std::vector<link::group_host> const& linked_hosts,
                    link::group_host const& self);

} // namespace bilberrylead::presence

#endif
