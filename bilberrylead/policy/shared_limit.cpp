#include "bilberrylead/policy/shared_limit.hpp"

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/seconds.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberrylead::policy
{

shared_limit::shared_limit(shared_limit_settings const& settings)
    : settings(settings), access(settings.access)
{
}

double shared_limit::fill_rate() const
{
    double const limit =
        std::max(this->rate.value_or(0), this->settings.min_rate);
    return this->is_divided() ? limit * this->settings.divided_part /
                                    static_cast<double>(this->hosts)
                              : limit;
}

double shared_limit::max_saved() const
{
    return this->is_divided()
               ? 0
               : std::clamp(this->fill_rate(), this->settings.min_saved,
                            this->settings.max_saved);
}

double shared_limit::level(instant now) const
{
    return std::min(this->tokens +
                        to_seconds(now - this->updated_at) * this->fill_rate(),
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

report_state shared_limit::state_of_reports(instant now) const
{
    instant const informed_at =
        std::max(this->last_report_at.value_or(instant{}), this->limited_since);
    duration const silence =
        this->settings.silence +
        from_seconds(this->settings.silent_requests / this->fill_rate());
    if (this->hosts > 1 && now - informed_at > silence)
    {
        return report_state::missing;
    }
    return now < this->cautious_until ? report_state::late
                                      : report_state::timely;
}

bool shared_limit::is_in_force(instant now) const
{
    return this->rate.has_value() &&
           now - this->seen_at < this->settings.lifetime;
}

/// Requests of this host, averaged over the memory, as a sum.
double shared_limit::recent_requests(instant now) const
{
    return this->recent_sent *
           std::exp(-to_seconds(now - this->recent_sent_at) /
                    to_seconds(this->settings.access.memory));
}

void shared_limit::restart_access(instant now)
{
    duration const observed =
        this->first_sent_at.has_value()
            ? std::min(now - *this->first_sent_at, this->settings.access.memory)
            : duration::zero();
    // One more request than was seen: most of many hosts have sent none.
    double const host_demand =
        (this->recent_requests(now) + 1) /
        to_seconds(observed + this->settings.min_observation);
    this->access.restart(this->fill_rate(),
                         host_demand * static_cast<double>(this->hosts));
}

void shared_limit::advance(instant now)
{
    if (now <= this->updated_at)
    {
        return;
    }
    if (!this->is_divided())
    {
        duration const elapsed = now - this->updated_at;
        duration const until_available =
            from_seconds(std::max(0.0, 1 - this->tokens) / this->fill_rate());
        this->access.advance(
            elapsed, std::max(elapsed - until_available, duration::zero()),
            this->fill_rate(), this->state_of_reports(now));
    }
    this->tokens = this->level(now);
    this->updated_at = now;
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
        this->advance(seen);
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
        this->limited_since = seen;
        this->restart_access(seen);
    }
    return changed;
}

void shared_limit::spend(double spent, instant now, generator& random)
{
    this->advance(now);
    double const rate_now = this->fill_rate();
    double const min_tokens =
        -std::max(1.0, this->settings.max_debt_seconds * rate_now);
    this->tokens = std::max(this->tokens - spent, min_tokens);
    double const late_overdraft =
        std::max(this->settings.late_overdraft,
                 rate_now * to_seconds(this->settings.late_overdraft_time));
    if (this->tokens < -late_overdraft)
    {
        this->cautious_until = now + this->settings.access.caution_time;
    }
    this->slot_seed = random.next();
}

void shared_limit::consume(instant now, generator& random)
{
    this->recent_sent = this->recent_requests(now) + 1;
    this->recent_sent_at = now;
    this->first_sent_at = this->first_sent_at.value_or(now);
    if (this->is_in_force(now))
    {
        ++this->own_sent;
        this->access.record_sent(1);
        this->spend(1, now, random);
    }
}

void shared_limit::record_peer_sent(host_id const& host, std::uint64_t sent,
                                    instant now, generator& random)
{
    if (this->state_of_reports(now) == report_state::missing)
    {
        // Reports that resume may still be late.
        this->cautious_until = now + this->settings.access.caution_time;
    }
    this->last_report_at = now;
    auto const [entry, is_first] = this->sent_by.try_emplace(host, sent);
    std::uint64_t const previous = std::exchange(entry->second, sent);
    // For a host that reports for the first time or has restarted, the number
    // of requests since its last report is unknown, and one is assumed.
    bool const is_known = !is_first && sent >= previous;
    std::uint64_t const spent = is_known ? sent - previous : 1;
    if (spent == 0 || !this->is_in_force(now))
    {
        return;
    }
    if (sent > 0)
    {
        this->access.record_sent(static_cast<double>(spent));
    }
    this->spend(static_cast<double>(spent), now, random);
}

void shared_limit::set_hosts(std::uint64_t count, bool is_in_contact,
                             instant now, generator& random)
{
    if (count == this->hosts && is_in_contact == this->has_contact)
    {
        return;
    }
    this->advance(now);
    this->slot_seed = random.next();
    bool const was_divided = this->is_divided();
    bool const was_alone = this->hosts <= 1;
    this->hosts = count;
    this->has_contact = is_in_contact;
    if (was_alone)
    {
        this->restart_access(now);
    }
    if (this->is_divided() == was_divided)
    {
        return;
    }
    // With random levels the hosts spend their first tokens one after another.
    // What others sent in the meantime is unknown, so nothing is left of the
    // tokens once they are shared again.
    this->initial_tokens = this->is_divided() ? random.unit() : 0;
    double const divisor = this->is_divided() ? static_cast<double>(count) : 1;
    this->tokens =
        std::min(this->tokens < 0 ? this->tokens / divisor : this->tokens,
                 this->initial_tokens);
    if (was_divided)
    {
        this->cautious_until = now + this->settings.access.caution_time;
    }
}

/// True if this host uses the tokens in the current time slot.
bool shared_limit::is_slot_open(instant now) const
{
    if (this->is_divided() || this->hosts <= 1)
    {
        return true;
    }
    std::uint64_t const slot = static_cast<std::uint64_t>(
        now.time_since_epoch() / this->settings.slot);
    generator draw(this->slot_seed ^ generator(slot).next());
    return draw.unit() < this->use_probability(now);
}

bool shared_limit::has_token(instant now) const
{
    return !this->is_in_force(now) ||
           (this->level(now) >= 1 && this->is_slot_open(now));
}

duration shared_limit::until_token(instant now) const
{
    if (this->has_token(now))
    {
        return duration::zero();
    }
    double const missing = std::max(0.0, 1 - this->level(now));
    duration const filled = from_seconds(missing / this->fill_rate());
    if (this->is_divided() || this->hosts <= 1)
    {
        return filled;
    }
    return filled + from_seconds(to_seconds(this->settings.slot) /
                                 this->use_probability(now));
}

} // namespace bilberrylead::policy
