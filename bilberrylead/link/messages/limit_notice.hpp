#ifndef BILBERRYLEAD_LINK_MESSAGES_LIMIT_NOTICE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_LIMIT_NOTICE_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/policy/limit_report.hpp"

#include <vector>

namespace bilberrylead::link
{

/// Reports what an entry host has sent to upstreams that set a limit. It is
/// sent to `presence::report_paths` control hosts, which pass it on to their
/// entry hosts and, unless entry hosts link to all control hosts, to the other
/// control hosts, which pass it on to their entry hosts. Counts are totals, so
/// that a lost notice is made up for by the next one. One that arrives late
/// over the slower path is taken for a restart: requests are then counted
/// twice, not missed.
struct limit_notice
{
    /// The entry host that sends to the upstreams.
    host_id sender;
    /// An entry for each upstream to which something has changed.
    std::vector<policy::limit_report> reports;
};

} // namespace bilberrylead::link

#endif
