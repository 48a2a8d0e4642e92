#include "bilberrylead/policy/retry_budget.hpp"

#include <algorithm>
#include <cassert>
#include <cstdint>

namespace bilberrylead::policy
{

void retry_budget::record_success()
{
    this->saved = std::min(this->settings.max_saved,
                           this->saved + this->settings.earned_per_success);
}

std::optional<duration>
retry_budget::request_retry(retry_request const& request, instant now,
                            generator& random)
{
    assert(request.attempts >= 1);
    // A request that is not idempotent runs again only if no part of it ran;
    // otherwise a royalty could be posted twice.
    if (!request.idempotent && !request.certainly_not_run)
    {
        return std::nullopt;
    }
    if (request.attempts >= this->settings.max_attempts || this->saved < 1)
    {
        return std::nullopt;
    }

    // Full jitter: requests that failed together on one crashed upstream are
    // not retried together.
    duration const max_backoff =
        this->settings.initial_backoff * (std::int64_t{1} << request.attempts);
    duration const backoff(static_cast<std::int64_t>(
        random.unit() * static_cast<double>(max_backoff.count())));
    if (now + backoff + request.run_time > request.deadline)
    {
        return std::nullopt;
    }
    this->saved -= 1;
    return backoff;
}

} // namespace bilberrylead::policy
