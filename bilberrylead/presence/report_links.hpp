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
/// the other entry hosts: at most `report_paths` of the linked ones, in
/// different regions if possible.
///
/// A control host that is frozen or slow keeps its links open for seconds, in
/// which the reports sent to it are lost. Entry hosts select by rendezvous
/// hashing, so that the failure of one control host concerns few of them, and
/// no region is the only path of any.
std::set<host_id>
choose_report_links(std::vector<link::group_host> const& linked_hosts,
                    host_id const& self);

} // namespace bilberrylead::presence

#endif
