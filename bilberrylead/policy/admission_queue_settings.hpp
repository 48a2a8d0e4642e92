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
    /// Longest expected wait while the queue was empty a moment ago: a
    /// burst. Half a second: longer, and the singer looks at a blank screen.
    duration max_burst_wait = std::chrono::milliseconds(500);
    /// Longest expected wait once the queue has stood for `standing_after`:
    /// saturation. A standing queue serves not one request more, it only
    /// makes each of them later; a few service times keep slots busy.
    duration max_standing_wait = std::chrono::milliseconds(200);
    /// How long a queue must never have been empty to be a standing one;
    /// over 0. Longer than what one burst leaves behind.
    duration standing_after = std::chrono::seconds(2);
    /// Longest expected wait of long work: it is in no hurry, but its
    /// caller should hear within seconds that it is not run.
    duration max_long_wait = std::chrono::seconds(10);
    /// A flow may hold half of bound / (flows waiting + 1), but this many
    /// requests always. Half: the other half of the slots' turns goes to
    /// flows that come later and wait less, and a backlog that ignores them
    /// is given up late instead of refused at once.
    std::uint32_t min_share = 3;
    /// Shortest time after which a refused caller is told to come back.
    duration min_retry_after = std::chrono::milliseconds(100);
    /// Order among those that wait.
    fair_queue_settings queue;
    /// What long work may hold.
    long_work_limit_settings long_work;
    /// False lets everything wait for ever (for comparison).
    bool bounded = true;
};

} // namespace bilberrylead::policy

#endif
