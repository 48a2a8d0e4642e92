#ifndef BILBERRYLEAD_POLICY_SHARED_LIMIT_HPP
#define BILBERRYLEAD_POLICY_SHARED_LIMIT_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/access_probability.hpp"
#include "bilberrylead/policy/shared_limit_settings.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace bilberrylead::policy
{

class generator;

/// One entry host's view of the rate limit that an upstream sets for all
/// entry hosts together.
///
/// Protects an overloaded upstream that accepts less than one request a
/// second from each entry host. A fixed share for each host would either stay
/// unused, where the requests arrive at other hosts, or be saved up by all
/// hosts and spent at the same time. Instead, every host keeps a copy of one
/// token bucket: it consumes one token for each request that it sends and one
/// for each request that another host reports. Reports may be late or lost, so
/// the bucket alone does not bound the sum. In each time slot a host therefore
/// uses the tokens only with its `access_probability`, which keeps what all
/// hosts offer together near the limit.
class shared_limit
{
public:
    /// Creates the state of an upstream that has set no limit.
    explicit shared_limit(shared_limit_settings const& settings = {});

    /// Applies the limit in requests a second that an answer of the upstream
    /// set at `seen`; nothing for no limit. An answer older than the last one
    /// applied changes nothing. True if the limit changed.
    bool observe(std::optional<double> per_second, instant seen);

    /// Records that this host sends a request, with or without a limit.
    void consume(instant now, generator& random);

    /// Records that another host has sent `sent` requests in total since it
    /// received the limit.
    void record_peer_sent(host_id const& host, std::uint64_t sent, instant now,
                          generator& random);

    /// Sets the number of entry hosts, at least 1, and whether their reports
    /// reach each other. Without contact each of them uses an equal part of
    /// `divided_part` of the limit and saves nothing up.
    void set_hosts(std::uint64_t count, bool is_in_contact, instant now,
                   generator& random);

    /// Advances the tokens and the estimate of the demand. To be called every
    /// few hundred milliseconds while a limit is in force.
    void advance(instant now);

    /// True if this host may send a request.
    bool has_token(instant now) const;

    /// Time until this host may send a request, if no other host sends one.
    duration until_token(instant now) const;

    /// Tokens available; negative after too many requests.
    double level(instant now) const;

    /// Time since the last report of another host; empty before the first.
    std::optional<duration> report_age(instant now) const;

    /// Probability, from 0 to 1, with which this host uses the tokens in a time
    /// slot while it is in contact with other hosts.
    double use_probability(instant now) const
    {
        return this->access.value(this->state_of_reports(now));
    }

    /// True while a limit is in force.
    bool is_in_force(instant now) const;

    /// The last limit set by the upstream, in requests a second.
    std::optional<double> per_second() const
    {
        return this->rate;
    }

    /// When the upstream set it.
    instant seen() const
    {
        return this->seen_at;
    }

    /// Total number of requests that this host sent while a limit was in
    /// force.
    std::uint64_t sent() const
    {
        return this->own_sent;
    }

private:
    bool is_divided() const
    {
        return !this->has_contact && this->hosts > 1;
    }
    double fill_rate() const;
    double max_saved() const;
    bool is_slot_open(instant now) const;
    report_state state_of_reports(instant now) const;
    double recent_requests(instant now) const;
    void restart_access(instant now);
    void spend(double tokens, instant now, generator& random);

    shared_limit_settings settings;
    std::optional<double> rate;
    std::uint64_t hosts = 1;
    bool has_contact = true;
    // Tokens at the time at which a limit is first applied.
    double initial_tokens = 0;
    instant seen_at{};
    instant limited_since{};
    double tokens = 0;
    instant updated_at{};
    access_probability access;
    // Seed of the draws for the time slots; drawn anew after each request.
    std::uint64_t slot_seed = 1;
    instant cautious_until{};
    // Requests of this host, averaged over the memory of `access`.
    double recent_sent = 0;
    instant recent_sent_at{};
    std::optional<instant> first_sent_at;
    std::uint64_t own_sent = 0;
    std::optional<instant> last_report_at;
    std::map<host_id, std::uint64_t> sent_by;
};

} // namespace bilberrylead::policy

#endif
