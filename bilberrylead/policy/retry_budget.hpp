#ifndef BILBERRYLEAD_POLICY_RETRY_BUDGET_HPP
#define BILBERRYLEAD_POLICY_RETRY_BUDGET_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/retry_budget_settings.hpp"

#include <algorithm>

#include <optional>

namespace bilberrylead::policy
{

/// Input to retry_budget, which decides whether a request may run again.
struct retry_request
{
    /// True if the request may safely run twice.
    bool idempotent = false;
    /// True if no byte of it can have reached an upstream, or the upstream
    /// itself reported that it was not run.
    bool certainly_not_run = false;
    /// Number of times it was sent so far; at least 1.
    unsigned attempts = 1;
    /// Time after which its answer is of no use.
    instant deadline;
    /// Time that a run takes (an upper quantile).
    duration run_time{};
};

/// Retries of one service at one entry host, in proportion to successes.
///
/// Protects against overload by retries when an upstream or a region fails.
/// Without a budget every request turns into `max_attempts` requests, and the
/// upstreams that still work get a multiple of the load and fail too. The
/// budget is a bucket that successes fill: isolated faults are retried, a
/// failing region is not.
class retry_budget
{
public:
    /// Creates a budget with these settings.
    explicit retry_budget(retry_budget_settings const& settings = {})
        : settings(settings), saved(settings.initial_saved)
    {
    }

    /// Records the success of a request.
    void record_success();

    /// Returns the backoff after which the request may run again, and consumes
    /// one retry. Returns nothing if the request must be abandoned now.
    std::optional<duration> request_retry(retry_request const& request,
                                          instant now, generator& random);

    /// Sets the maximum number of saved retries, at least 0: this host's share
    /// of the additional requests that all entry hosts may send.
    void set_max_saved(double retries)
    {
        this->settings.max_saved = retries;
        this->saved = std::min(this->saved, retries);
    }

    /// Number of retries available now.
    double available() const
    {
        return this->saved;
    }

private:
    retry_budget_settings settings;
    double saved;
};

} // namespace bilberrylead::policy

#endif
