#include "bilberrylead/policy/customer_limit.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace bilberrylead::policy
{

namespace
{

/// Rates are given as requests in 1000 s.
constexpr double per_mille = 1000;
/// Shares are given in millionths.
constexpr double millionths = 1e6;
/// A wait that is longer says nothing more to a caller.
constexpr duration max_wait = std::chrono::seconds(5);

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

customer_limit::customer_limit(customer_limit_settings const& settings)
    : settings(settings)
{
}

double customer_limit::rate_of(std::uint32_t share) const
{
    return static_cast<double>(this->rate) / per_mille * share / millionths;
}

/// Whole requests: a host that may save up a part of one accepts nothing.
double customer_limit::max_reserve() const
{
    if (this->hosts == 0 || this->settings.bounds.window <= duration::zero())
    {
        return 0;
    }
    double const limit = static_cast<double>(this->rate) / per_mille *
                             seconds_of(this->settings.bounds.window) +
                         static_cast<double>(this->burst);
    double const all_hosts =
        this->settings.reserve_part *
        (this->settings.bounds.overshoot * limit + this->settings.bounds.slack);
    return std::floor(all_hosts / static_cast<double>(this->hosts) +
                      this->host_draw);
}

double customer_limit::reserve(instant now) const
{
    double const most = this->max_reserve();
    if (most == 0)
    {
        return 0;
    }
    double const fill_time = seconds_of(this->settings.bounds.window) *
                             this->settings.reserve_windows;
    double const filled =
        seconds_of(now - this->reserve_updated_at) * most / fill_time;
    return std::min(this->reserve_tokens + filled, most);
}

bool customer_limit::accept_from_reserve(instant now)
{
    double const available = this->reserve(now);
    if (this->has_recent_allocation(now) || available < 1)
    {
        return false;
    }
    this->reserve_tokens = available - 1;
    this->reserve_updated_at = now;
    return true;
}

/// A host that may send at all must be able to save up one token.
double customer_limit::max_saved(instant now) const
{
    return std::max(1.0, static_cast<double>(this->burst) * this->share(now) /
                             millionths);
}

double customer_limit::level(instant now) const
{
    instant const shared_until =
        std::clamp(this->share_expiry, this->updated_at, now);
    double const filled = seconds_of(shared_until - this->updated_at) *
                          this->rate_of(this->share_held);
    return std::min(this->tokens + filled, this->max_saved(now));
}

void customer_limit::advance(instant now)
{
    now = std::max(now, this->updated_at);
    this->tokens = this->level(now);
    this->updated_at = now;
}

void customer_limit::configure(std::uint64_t new_rate, std::uint64_t new_burst,
                               instant now)
{
    this->advance(now);
    this->rate = new_rate;
    this->burst = new_burst;
    this->tokens = std::min(this->tokens, this->max_saved(now));
}

void customer_limit::set_hosts(std::size_t count, double draw, instant now)
{
    bool const was_unknown = this->hosts == 0;
    this->reserve_tokens = this->reserve(now);
    this->reserve_updated_at = now;
    this->hosts = count;
    this->host_draw = draw;
    if (was_unknown)
    {
        this->reserve_tokens = this->max_reserve();
    }
}

void customer_limit::allocate(std::uint32_t share, std::uint32_t starters,
                              instant expiry, instant starters_until,
                              instant now)
{
    this->advance(now);
    this->share_held = share;
    this->share_expiry = expiry;
    this->starters_left = starters;
    this->starter_expiry = starters_until;
    this->tokens =
        share == 0 ? 0 : std::min(this->tokens, this->max_saved(now));
}

bool customer_limit::accept(instant now)
{
    this->advance(now);
    ++this->arrived;
    if (this->tokens >= 1)
    {
        this->tokens -= 1;
    }
    else if (this->starters_left > 0 && now < this->starter_expiry)
    {
        --this->starters_left;
        this->used_starters = true;
    }
    else if (!this->accept_from_reserve(now))
    {
        return false;
    }
    ++this->accepted;
    return true;
}

void customer_limit::give_back(instant now)
{
    this->advance(now);
    --this->accepted;
    this->tokens = std::min(this->tokens + 1, this->max_saved(now));
}

duration customer_limit::until_token(instant now) const
{
    if (this->share(now) == 0)
    {
        // The next allocation takes this request into account.
        return 2 * this->settings.report_interval;
    }
    double const fill = this->rate_of(this->share_held);
    double const missing = std::max(1 - this->level(now), 0.0);
    if (fill * seconds_of(max_wait) < missing)
    {
        return max_wait;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / fill));
}

bool customer_limit::needs_report(instant now) const
{
    return this->arrived > 0 || this->accepted != 0 || this->share(now) > 0;
}

customer_usage customer_limit::pop_usage(instant now)
{
    customer_usage usage;
    usage.rate = this->rate;
    usage.burst = this->burst;
    usage.arrived = std::exchange(this->arrived, 0);
    usage.accepted = std::exchange(this->accepted, 0);
    usage.share = this->share(now);
    this->used_starters = false;
    return usage;
}

} // namespace bilberrylead::policy
