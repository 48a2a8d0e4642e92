#ifndef BILBERRYLEAD_LINK_MESSAGES_LIMIT_NOTICE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_LIMIT_NOTICE_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/policy/limit_report.hpp"

#include <vector>

namespace bilberrylead::link
{

/// An entry host tells what it has sent to upstreams that name a limit. It
/// goes to one control host, which passes it on to all hosts that it is
/// linked to; control hosts that hear it from another one pass it on to
/// their entry hosts. Counts are sums, so that one that comes twice, or is
/// lost, does no harm.
struct limit_notice
{
    /// The entry host that sends to the upstreams.
    host_id sender;
    /// An entry for each upstream to which something has changed.
    std::vector<policy::limit_report> reports;
};

} // namespace bilberrylead::link

#endif
