#ifndef BILBERRYLEAD_POLICY_CRASH_MERGE_HPP
#define BILBERRYLEAD_POLICY_CRASH_MERGE_HPP

#include "bilberrylead/policy/crash_record.hpp"

#include <vector>

namespace bilberrylead::policy
{

/// What came of merging another host's records.
struct crash_merge
{
    /// Records that changed here: for everyone but their sender.
    std::vector<crash_record> changed;
    /// Records of which the sender knows less: for the sender.
    std::vector<crash_record> missing_at_sender;
};

} // namespace bilberrylead::policy

#endif
