#ifndef BILBERRYLEAD_LINK_MESSAGES_CRASH_REPORT_HPP
#define BILBERRYLEAD_LINK_MESSAGES_CRASH_REPORT_HPP

#include "bilberrylead/policy/crash_record.hpp"

#include <vector>

namespace bilberrylead::link
{

/// Requests under which upstreams ended. An entry host tells what it finds
/// to every host that it is linked to; control hosts pass on what they learn.
/// Hosts tell all that they know when a link opens. It needs no leader, and
/// hosts that were cut off merge what each side knows.
struct crash_report
{
    /// What the sender knows of each request.
    std::vector<policy::crash_record> records;
};

} // namespace bilberrylead::link

#endif
