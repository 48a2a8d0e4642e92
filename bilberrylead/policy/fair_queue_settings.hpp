#ifndef BILBERRYLEAD_POLICY_FAIR_QUEUE_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_FAIR_QUEUE_SETTINGS_HPP

#include <cstddef>

namespace bilberrylead::policy
{

/// Settings of fair_queue.
struct fair_queue_settings
{
    /// Most requests that wait; at least 1. Admission bounds the wait by
    /// time; this only bounds memory, and 1024 is more than any deadline
    /// leaves room for in front of one zone's slots.
    std::size_t capacity = 1024;
    /// Rows of the flow table; at least 1. With 4096 rows (64 KB) a light
    /// caller shares a row with one of a hundred that wait in 2 % of cases;
    /// it then waits a round longer.
    std::size_t buckets = 4096;
    /// False serves in order of arrival (for comparison).
    bool by_flow = true;
};

} // namespace bilberrylead::policy

#endif
