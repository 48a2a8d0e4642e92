#ifndef BILBERRYLEAD_POLICY_RETRY_BUDGET_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_RETRY_BUDGET_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of retry_budget.
struct retry_budget_settings
{
    /// Retries earned by one success, 0 to 1. With a tenth, the load on the
    /// remaining upstreams grows by a tenth at most when all requests fail.
    double earned_per_success = 0.1;
    /// Maximum number of saved retries. Enough for the requests in flight to
    /// one crashed upstream (three slots, some waiting), not for a region.
    double max_saved = 10;
    /// Retries saved at the start, so that a service with few requests can
    /// retry too.
    double initial_saved = 3;
    /// Maximum number of runs of one request, including the first; at least 1.
    unsigned max_attempts = 3;
    /// Base of the backoff: the maximum backoff before retry n is this times
    /// 2^n.
    duration initial_backoff = std::chrono::milliseconds(5);
};

} // namespace bilberrylead::policy

#endif
