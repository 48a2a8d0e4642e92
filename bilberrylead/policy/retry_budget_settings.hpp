#ifndef BILBERRYLEAD_POLICY_RETRY_BUDGET_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_RETRY_BUDGET_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of retry_budget.
struct retry_budget_settings
{
    /// Retries earned by one success, 0 to 1. A tenth: when everything
    /// fails, the load on what is left grows by a tenth at most.
    double earned_per_success = 0.1;
    /// Most retries saved up. Enough for the requests in flight to one
    /// upstream that died (three slots, some waiting), not for a region.
    double max_saved = 10;
    /// Retries saved at the start, so that a quiet service can retry too.
    double initial_saved = 3;
    /// Runs of one request in all, the first included; at least 1.
    unsigned max_attempts = 3;
    /// Pause before the first retry; doubles with each further one.
    duration initial_backoff = std::chrono::milliseconds(5);
};

} // namespace bilberrylead::policy

#endif
