#ifndef BILBERRYLEAD_POLICY_RETRY_BUDGET_HPP
#define BILBERRYLEAD_POLICY_RETRY_BUDGET_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/retry_budget_settings.hpp"

#include <algorithm>

#include <optional>

namespace bilberrylead::policy
{

/// What is asked of a retry_budget: may this request run again?
struct retry_request
{
    /// True if running it twice does no harm.
    bool idempotent = false;
    /// True if no byte of it can have reached an upstream, or the upstream
    /// itself said that it was not run.
    bool certainly_not_run = false;
    /// Times it was sent so far; at least 1.
    unsigned attempts = 1;
    /// When its answer is of no more use.
    instant deadline;
    /// Time that a run needs (an upper quantile).
    duration run_time{};
};

/// Retries of one service at one entry host, in proportion to successes.
///
/// Load it answers: an upstream or a region that fails. Without a budget
/// every request turns into `most_attempts`, the upstreams that still work
/// get a multiple of the load, and fail too. The budget is a bucket that
/// successes fill: single faults are retried, a failing region is not.
class retry_budget
{
public:
    /// Makes a budget that follows `settings`.
    explicit retry_budget(retry_budget_settings const& settings = {})
        : settings(settings), saved(settings.initial_saved)
    {
    }

    /// A request succeeded.
    void record_success();

    /// The pause before the request may run again (and the retry is spent),
    /// or nothing: give up now.
    std::optional<duration> request_retry(retry_request const& request,
                                          instant now, generator& random);

    /// From now on at most so many retries are saved up, at least 0: this
    /// host's share of what all entry hosts may send besides.
    void set_max_saved(double retries)
    {
        this->settings.max_saved = retries;
        this->saved = std::min(this->saved, retries);
    }

    /// Retries saved up now.
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
