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

/// The limit that one upstream names for all entry hosts together, as one of
/// them keeps it.
///
/// Load it answers: an upstream in need that takes less than a request a
/// second from each entry host. A share of the limit for each host is either
/// not used, where requests come to others, or saved by all hosts and spent
/// together. Here every host keeps the same bucket of tokens: it takes one
/// for each request that it sends, and one for each that others report.
/// Hosts that see the same token do not all spend it, since each waits for
/// another part of a further one.
class shared_limit
{
public:
    /// Makes the limit of an upstream that has named none.
    explicit shared_limit(shared_limit_settings const& settings = {});

    /// An answer of the upstream, which came at `seen`, named this limit, or
    /// none. Older ones than the last change nothing. True if the limit is
    /// another one by it.
    bool observe(std::optional<double> per_second, instant seen);

    /// This host sends a request.
    void consume(instant now, generator& random);

    /// Another host has sent so many since it knows of the limit.
    void record_peer_sent(host_id const& host, std::uint64_t sent, instant now,
                          generator& random);

    /// True if a request may be sent.
    bool has_token(instant now) const;

    /// Time until one may be sent, if nobody else sends one.
    duration until_token(instant now) const;

    /// True while a limit is in force.
    bool is_in_force(instant now) const;

    /// The limit as it was named last, requests a second.
    std::optional<double> per_second() const
    {
        return this->rate;
    }

    /// When the upstream named it.
    instant seen() const
    {
        return this->seen_at;
    }

    /// Requests that this host has sent while the limit was in force.
    std::uint64_t sent() const
    {
        return this->own_sent;
    }

private:
    double fill_rate() const;
    double max_saved() const;
    double required_tokens() const;
    double level(instant now) const;
    void spend(double tokens, instant now, generator& random);

    shared_limit_settings settings;
    std::optional<double> rate;
    instant seen_at{};
    double tokens = 0;
    instant updated_at{};
    // Part of the tokens that may be saved beyond one for which this host
    // waits; another one after each request.
    double reserve_fraction = 0;
    std::uint64_t own_sent = 0;
    std::map<host_id, std::uint64_t> sent_by;
};

} // namespace bilberrylead::policy

#endif
