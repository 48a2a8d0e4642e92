#ifndef BILBERRYLEAD_POLICY_FAIR_QUEUE_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_FAIR_QUEUE_SETTINGS_HPP

#include <cstddef>

namespace bilberrylead::policy
{

/// Settings of fair_queue.
struct fair_queue_settings
{
    /// Maximum number of waiting requests; at least 1. Admission bounds the
    /// wait by time and this bounds memory only: 1024 is more requests than
    /// the slots of one zone can serve within any deadline.
    std::size_t capacity = 1024;
    /// Buckets of the flow table; at least 1. With 4096 buckets (64 KB) and a
    /// hundred waiting callers, a light caller shares its bucket with one of
    /// them in 2 % of cases and then waits one round longer.
    std::size_t buckets = 4096;
    /// False serves in order of arrival (for comparison).
    bool by_flow = true;
};

} // namespace bilberrylead::policy

#endif
