#include "bilberrylead/policy/shared_limit.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bilberrylead::policy
{

shared_limit::shared_limit(shared_limit_settings const& settings)
    : settings(settings)
{
}

double shared_limit::fill_rate() const
{
    double const limit =
        std::max(this->rate.value_or(0), this->settings.min_rate);
    return this->divisor > 1 ? limit * this->settings.divided_part /
                                   static_cast<double>(this->divisor)
                             : limit;
}

double shared_limit::max_saved() const
{
    return this->divisor > 1
               ? 0
               : std::min(this->settings.max_saved, this->fill_rate());
}

/// Number of tokens from which on this host sends a request.
double shared_limit::required_tokens() const
{
    return 1 + this->max_saved() * this->reserve_fraction;
}

double shared_limit::level(instant now) const
{
    std::chrono::duration<double> const passed = now - this->updated_at;
    return std::min(this->tokens + passed.count() * this->fill_rate(),
                    1 + this->max_saved());
}

std::optional<duration> shared_limit::report_age(instant now) const
{
    if (!this->last_report_at.has_value())
    {
        return std::nullopt;
    }
    return now - *this->last_report_at;
}

bool shared_limit::is_in_force(instant now) const
{
    return this->rate.has_value() &&
           now - this->seen_at < this->settings.lifetime;
}

bool shared_limit::observe(std::optional<double> per_second, instant seen)
{
    if (seen < this->seen_at)
    {
        return false;
    }
    bool const is_new = !this->is_in_force(seen);
    bool const changed = this->rate != per_second;
    if (changed && !is_new)
    {
        // The tokens saved so far are computed with the old limit.
        this->tokens = this->level(seen);
        this->updated_at = seen;
    }
    this->rate = per_second;
    this->seen_at = seen;
    if (!per_second.has_value())
    {
        this->sent_by.clear();
    }
    else if (is_new)
    {
        this->tokens = this->initial_tokens;
        this->updated_at = seen;
    }
    return changed;
}

void shared_limit::spend(double spent, instant now, generator& random)
{
    double const min_tokens =
        -std::max(1.0, this->settings.max_debt_seconds * this->fill_rate());
    this->tokens = std::max(this->level(now) - spent, min_tokens);
    this->updated_at = std::max(this->updated_at, now);
    this->reserve_fraction = random.unit();
}

void shared_limit::consume(instant now, generator& random)
{
    ++this->own_sent;
    this->spend(1, now, random);
}

void shared_limit::record_peer_sent(host_id const& host, std::uint64_t sent,
                                    instant now, generator& random)
{
    this->last_report_at = now;
    auto const [entry, is_first] = this->sent_by.try_emplace(host, sent);
    std::uint64_t const previous = std::exchange(entry->second, sent);
    // For a host that reports for the first time or has restarted, the number
    // of requests since its last report is unknown, and one is assumed.
    std::uint64_t const spent =
        is_first || sent < previous ? 1 : sent - previous;
    if (spent > 0 && this->is_in_force(now))
    {
        this->spend(static_cast<double>(spent), now, random);
    }
}

void shared_limit::divide(std::uint64_t hosts, instant now, generator& random)
{
    if (hosts == this->divisor)
    {
        return;
    }
    // With random levels the hosts spend their first tokens one after another.
    // What others sent in the meantime is unknown, so nothing is left of the
    // tokens once they are shared again.
    this->initial_tokens = hosts > 1 ? random.unit() : 0;
    double const shared = this->level(now);
    this->tokens =
        std::min(shared < 0 ? shared / static_cast<double>(hosts) : shared,
                 this->initial_tokens);
    this->updated_at = std::max(this->updated_at, now);
    this->divisor = hosts;
}

bool shared_limit::has_token(instant now) const
{
    return !this->is_in_force(now) ||
           this->level(now) >= this->required_tokens();
}

duration shared_limit::until_token(instant now) const
{
    if (this->has_token(now))
    {
        return duration::zero();
    }
    double const missing = this->required_tokens() - this->level(now);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / this->fill_rate()));
}

} // namespace bilberrylead::policy
