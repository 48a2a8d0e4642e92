#ifndef BILBERRYLEAD_POLICY_ADMISSION_QUEUE_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_QUEUE_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/fair_queue_settings.hpp"
#include "bilberrylead/policy/long_work_limit_settings.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// Settings of admission_queue.
struct admission_queue_settings
{
    /// Maximum expected wait during a burst, that is while the queue was
    /// empty within `standing_after`. With more than half a second the singer
    /// sees a blank screen.
    duration max_burst_wait = std::chrono::milliseconds(500);
    /// Maximum expected wait under saturation, that is once the queue has not
    /// been empty for `standing_after`. A standing queue does not raise the
    /// throughput and only delays each request; a wait of a few service times
    /// keeps the slots busy. At most `max_burst_wait`.
    duration max_standing_wait = std::chrono::milliseconds(200);
    /// Time without an empty queue after which it counts as standing; over 0.
    /// It must be longer than the backlog of one burst lasts.
    duration standing_after = std::chrono::seconds(2);
    /// Maximum expected wait of long work. Long work is not urgent, but its
    /// caller should be told within seconds that it is not run.
    duration max_long_wait = std::chrono::seconds(10);
    /// Number of waiting requests that a flow may always have. Above it, a
    /// flow may have half of bound / (flows waiting + 1). The other half of
    /// the slots goes to flows that arrive later and wait less; a backlog
    /// that ignores them would expire late instead of being refused at once.
    std::uint32_t min_share = 3;
    /// Minimum retry time that a refused caller is given.
    duration min_retry_after = std::chrono::milliseconds(100);
    /// Order of the waiting requests.
    fair_queue_settings queue;
    /// Number of slots that long work may hold.
    long_work_limit_settings long_work;
    /// False lets every request wait without a bound (for comparison).
    bool bounded = true;
};

} // namespace bilberrylead::policy

#endif
