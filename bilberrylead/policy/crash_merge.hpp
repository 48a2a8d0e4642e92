#ifndef BILBERRYLEAD_POLICY_CRASH_MERGE_HPP
#define BILBERRYLEAD_POLICY_CRASH_MERGE_HPP

#include "bilberrylead/policy/crash_record.hpp"

#include <vector>

namespace bilberrylead::policy
{

/// Result of merging another host's records.
struct crash_merge
{
    /// Records that changed here, to be sent to every host but their sender.
    std::vector<crash_record> changed;
    /// Records that are more complete here than at the sender, to be sent back
    /// to it.
    std::vector<crash_record> missing_at_sender;
};

} // namespace bilberrylead::policy

#endif
