#ifndef BILBERRYLEAD_POLICY_CUSTOMER_LIMIT_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_LIMIT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/customer_limit_settings.hpp"
#include "bilberrylead/policy/customer_usage.hpp"

#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// One entry host's part of the limit of one customer.
///
/// Protects the bound on a customer's requests over all entry hosts while each
/// host sees only a few of them. The host holds a share of the limit as a
/// lease: a token bucket with that share of the rate and of the burst. Besides,
/// it may accept the starters of the last allocation. While no allocations
/// arrive, it accepts its part of a reserve so small that all hosts together
/// stay within the allowed overshoot.
class customer_limit
{
public:
    /// Creates the state of a host without a share.
    explicit customer_limit(customer_limit_settings const& settings);

    /// Sets the limit: requests in 1000 s, and the burst.
    void configure(std::uint64_t rate, std::uint64_t burst, instant now);

    /// Sets the number of hosts that divide the reserve; 0 if it is unknown, so
    /// that there is no reserve. `draw`, from 0 to 1, decides whether this host
    /// accepts the request that is left over by the division.
    void set_hosts(std::size_t count, double draw, instant now);

    /// Applies an allocation: a share in millionths, valid until `expiry`, and
    /// the starters, valid until `starter_expiry`.
    void allocate(std::uint32_t share, std::uint32_t starters, instant expiry,
                  instant starter_expiry, instant now);

    /// Counts an arrived request. True if it is accepted.
    bool accept(instant now);

    /// Gives back an accepted request that was not run.
    void give_back(instant now);

    /// Expected time until the next request is accepted.
    duration until_token(instant now) const;

    /// Share in force, in millionths; 0 if there is none.
    std::uint32_t share(instant now) const
    {
        return now < this->share_expiry ? this->share_held : 0;
    }

    /// True if requests arrived, or were given back, since the last report, or
    /// if a share is in force.
    bool needs_report(instant now) const;

    /// True if requests were accepted beyond the share since the last report.
    bool has_used_starters() const
    {
        return this->used_starters;
    }

    /// Returns the report, all but the customer's id, and starts the next one.
    customer_usage pop_usage(instant now);

private:
    double rate_of(std::uint32_t share) const;
    bool has_recent_allocation(instant now) const
    {
        return now < this->starter_expiry;
    }
    double max_reserve() const;
    double reserve(instant now) const;
    bool accept_from_reserve(instant now);
    double max_saved(instant now) const;
    double level(instant now) const;
    void advance(instant now);

    customer_limit_settings settings;
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;
    std::size_t hosts = 0;
    double host_draw = 0;
    double reserve_tokens = 0;
    instant reserve_updated_at{};
    std::uint32_t share_held = 0;
    instant share_expiry{};
    std::uint32_t starters_left = 0;
    bool used_starters = false;
    instant starter_expiry{};
    double tokens = 0;
    instant updated_at{};
    std::uint32_t arrived = 0;
    std::int32_t accepted = 0;
};

} // namespace bilberrylead::policy

#endif
