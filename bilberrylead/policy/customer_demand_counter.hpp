#ifndef BILBERRYLEAD_POLICY_CUSTOMER_DEMAND_COUNTER_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_DEMAND_COUNTER_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/arrival_rate.hpp"
#include "bilberrylead/policy/customer_demand.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::policy
{

/// Counts the requests of the largest customers by rank, in bounded memory. The
/// count of a customer that replaced another includes that one's count, as an
/// upper bound (space-saving algorithm); reports leave this part out.
class customer_demand_counter
{
public:
    /// Averages over about the last `averaging_time`, over 0, for at most
    /// `capacity` pairs of customer and rank, at least 1.
    customer_demand_counter(std::chrono::duration<double> averaging_time,
                            std::size_t capacity);

    /// Counts one request.
    void record(std::uint32_t rank, customer_id const& customer, instant now);

    /// Demand of the `max_rows` largest customers, in descending order, in
    /// slots of requests that run for `run_s` seconds. Rows with less than
    /// `min_rate` requests a second are left out.
    std::vector<customer_demand> largest(double run_s, double min_rate,
                                         std::size_t max_rows,
                                         instant now) const;

    /// Number of counted pairs of customer and rank.
    std::size_t size() const
    {
        return this->rows.size();
    }

private:
    struct row
    {
        customer_id customer;
        std::uint32_t rank = 0;
        arrival_rate demand;
        // Part of `demand` that may belong to customers it replaced.
        arrival_rate error;
    };

    std::chrono::duration<double> averaging_time;
    std::size_t capacity;
    std::vector<row> rows;
};

} // namespace bilberrylead::policy

#endif
