#ifndef BILBERRYLEAD_POLICY_CUSTOMER_LIMITS_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_LIMITS_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/customer_allocation.hpp"
#include "bilberrylead/policy/customer_limit.hpp"
#include "bilberrylead/policy/customer_limit_settings.hpp"
#include "bilberrylead/policy/customer_report.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace bilberrylead::policy
{

/// One entry host's part of the limits of all customers, and its reports.
///
/// A lease starts when the report that it answers was sent, not when the
/// answer arrives: an answer may be delayed by a partition for longer than the
/// lease.
class customer_limits
{
public:
    /// Creates the state of a host without limits.
    explicit customer_limits(host_id const& self,
                             customer_limit_settings const& settings = {});

    /// Starts to apply a configuration. Call set_limit for each customer with
    /// a limit, then end_configuration.
    void begin_configuration(revision number);
    /// Sets a customer's limit: requests in 1000 s, and the burst.
    void set_limit(customer_id const& customer, std::uint64_t rate,
                   std::uint64_t burst, instant now);
    /// Removes the customers that set_limit was not called for.
    void end_configuration();

    /// True if the customer has a limit.
    bool has_limit(customer_id const& customer) const
    {
        return this->limits.contains(customer);
    }

    /// Sets the number of entry hosts; 0 if it is unknown.
    void set_hosts(std::size_t count, instant now);

    /// Counts an arrived request of a customer. True if it is accepted, as it
    /// always is without a limit.
    bool accept(customer_id const& customer, instant now);

    /// Gives back an accepted request that was not run.
    void give_back(customer_id const& customer, instant now);

    /// Expected time until the next request of the customer is accepted.
    duration until_token(customer_id const& customer, instant now) const;

    /// Share of the customer's limit that is in force, in millionths.
    std::uint32_t share(customer_id const& customer, instant now) const;

    /// Time since the report that the allocation in force answers; none before
    /// the first allocation.
    std::optional<duration> allocation_age(instant now) const;

    /// Makes the next report due at once.
    void request_report();

    /// Returns the next report once it is due.
    std::optional<customer_report> pop_report(instant now);

    /// Applies an allocation; one that answers an unknown report, or an older
    /// one than the last, changes nothing.
    void apply(customer_allocation const& allocation, instant now);

private:
    duration current_interval(instant now) const;

    struct entry
    {
        customer_limit limit;
        revision configured_by = 0;
    };

    double draw_of(customer_id const& customer) const;

    host_id self;
    customer_limit_settings settings;
    std::map<customer_id, entry> limits;
    revision configuration = 0;
    std::size_t hosts = 0;
    std::uint64_t report_number = 0;
    instant reported_at{};
    std::deque<std::pair<std::uint64_t, instant>> sent_reports;
    std::uint64_t answered_number = 0;
    std::optional<instant> answered_sent_at;
};

} // namespace bilberrylead::policy

#endif
