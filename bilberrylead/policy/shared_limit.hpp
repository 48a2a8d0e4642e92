#ifndef BILBERRYLEAD_POLICY_SHARED_LIMIT_HPP
#define BILBERRYLEAD_POLICY_SHARED_LIMIT_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
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
/// for each request that another host reports. Hosts that see the same token
/// do not all spend it, since each waits for a different random fraction of
/// the tokens beyond it.
class shared_limit
{
public:
    /// Creates the state of an upstream that has set no limit.
    explicit shared_limit(shared_limit_settings const& settings = {});

    /// Applies the limit in requests a second that an answer of the upstream
    /// set at `seen`; nothing for no limit. An answer older than the last one
    /// applied changes nothing. True if the limit changed.
    bool observe(std::optional<double> per_second, instant seen);

    /// Records that this host sends a request.
    void consume(instant now, generator& random);

    /// Records that another host has sent `sent` requests in total since it
    /// received the limit.
    void record_peer_sent(host_id const& host, std::uint64_t sent, instant now,
                          generator& random);

    /// Sets by how many hosts the limit is divided: 1 while the hosts report
    /// their requests to each other, else the number of hosts, each of which
    /// then uses an equal part of `divided_part` and saves nothing up.
    void divide(std::uint64_t hosts, instant now, generator& random);

    /// True if this host may send a request.
    bool has_token(instant now) const;

    /// Time until this host may send a request, if no other host sends one.
    duration until_token(instant now) const;

    /// Tokens available; negative after too many requests.
    double level(instant now) const;

    /// Time since the last report of another host; empty before the first.
    std::optional<duration> report_age(instant now) const;

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
    double fill_rate() const;
    double max_saved() const;
    double required_tokens() const;
    void spend(double tokens, instant now, generator& random);

    shared_limit_settings settings;
    std::optional<double> rate;
    std::uint64_t divisor = 1;
    // Tokens at the time at which a limit is first applied.
    double initial_tokens = 0;
    instant seen_at{};
    double tokens = 0;
    instant updated_at{};
    // This host sends only when it has one token plus this fraction of the
    // tokens that may be saved beyond one; drawn anew after each request.
    double reserve_fraction = 0;
    std::uint64_t own_sent = 0;
    std::optional<instant> last_report_at;
    std::map<host_id, std::uint64_t> sent_by;
};

} // namespace bilberrylead::policy

#endif
