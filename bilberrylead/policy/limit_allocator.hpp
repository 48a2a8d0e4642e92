#ifndef BILBERRYLEAD_POLICY_LIMIT_ALLOCATOR_HPP
#define BILBERRYLEAD_POLICY_LIMIT_ALLOCATOR_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/customer_allocation.hpp"
#include "bilberrylead/policy/customer_limit_settings.hpp"
#include "bilberrylead/policy/customer_limit_status.hpp"
#include "bilberrylead/policy/customer_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bilberrylead::policy
{

/// Divides the customers' limits among entry hosts; runs on the leader.
///
/// Hundreds of entry hosts see less than one request a second of a customer
/// each, and callers move between hosts. Fixed shares would stay unused at the
/// hosts that a customer's callers do not use, so shares follow demand. A share
/// is a lease: a host that is cut off continues to use it until it expires,
/// and until then nobody else receives it. What all hosts report is also
/// counted in one bucket, which reduces the shares until an excess is repaid.
class limit_allocator
{
public:
    /// Creates an allocator that has received no reports.
    explicit limit_allocator(customer_limit_settings const& settings = {});

    /// Starts over as a new leader: shares that a previous leader gave to hosts
    /// that do not report are still in force.
    void start(instant now);

    /// Records a report. One that is older than the last of this incarnation
    /// changes nothing.
    void record(host_id const& host, std::uint64_t incarnation,
                customer_report const& report, instant now);

    /// True if the next allocation is due: at the report interval, and earlier
    /// once a customer has used up what hosts may accept beyond their shares.
    bool is_due(instant now) const;

    /// Divides the limits among the hosts that report; `known_hosts` is the
    /// largest number of hosts that may hold shares.
    std::map<host_id, customer_allocation> allocate(std::size_t known_hosts,
                                                    instant now);

    /// Tokens saved up of a customer's limit; negative after an excess. 0 if
    /// the customer is unknown.
    double level(customer_id const& customer, instant now) const;

    /// The customers that use most of their limits, at most `max_customers`,
    /// in descending order.
    std::vector<customer_limit_status> status(std::size_t max_customers,
                                              instant now) const;

    /// Number of customers whose limits are in use.
    std::size_t customers_in_use() const
    {
        return this->customers.size();
    }

private:
    struct host_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t report = 0;
        instant heard_at{};
    };

    struct holding
    {
        double demand = 0;
        instant demand_at{};
        instant arrived_at{};
        std::uint32_t share = 0;
        std::uint32_t previous_share = 0;
        instant expiry{};
    };

    struct customer_state
    {
        revision configuration = 0;
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        instant updated_at{};
        double inherited_shares = 0;
        std::uint64_t arrived = 0;
        std::int64_t accepted = 0;
        std::map<host_id, holding> holdings;
    };

    bool is_silent(host_id const& host, instant now) const;
    void set_limit(customer_state& state, customer_usage const& usage,
                   revision configuration, instant now) const;
    double level(customer_state const& state, instant now) const;
    double demand(holding const& held, instant now) const;
    double min_shared_demand(customer_state const& state, instant now) const;
    double available_part(customer_state const& state, std::size_t known_hosts,
                          instant now) const;
    double total_demand(customer_state const& state, instant now) const;
    bool has_reserve(customer_state const& state, instant now) const;
    std::uint32_t starters(customer_state const& state, instant now) const;
    std::set<host_id> starting_hosts(customer_state const& state,
                                     instant now) const;
    void remove_expired(instant now);
    void divide(customer_state& state, std::size_t known_hosts, instant now);

    customer_limit_settings settings;
    instant started_at{};
    instant allocated_at{};
    bool is_urgent = false;
    std::map<host_id, host_state> hosts;
    std::map<customer_id, customer_state> customers;
};

} // namespace bilberrylead::policy

#endif
