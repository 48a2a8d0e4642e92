#ifndef BILBERRYLEAD_POLICY_ARRIVAL_RATE_HPP
#define BILBERRYLEAD_POLICY_ARRIVAL_RATE_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cmath>

namespace bilberrylead::policy
{

/// Arrivals per second as an exponentially decaying average.
class arrival_rate
{
public:
    /// Averages over about the last `averaging_time`, over 0.
    explicit arrival_rate(std::chrono::duration<double> averaging_time)
        : time_constant(averaging_time)
    {
    }

    /// Counts one arrival.
    void add(instant now)
    {
        this->rate = this->per_second(now) + 1.0 / this->time_constant.count();
        this->updated_at = now;
    }

    /// Adds the arrivals that another average with the same averaging time has
    /// counted.
    void merge(arrival_rate const& other, instant now)
    {
        this->rate = this->per_second(now) + other.per_second(now);
        this->updated_at = now;
    }

    /// Arrivals per second at `now`.
    double per_second(instant now) const
    {
        std::chrono::duration<double> const age = now - this->updated_at;
        return this->rate *
               std::exp(-age.count() / this->time_constant.count());
    }

private:
    std::chrono::duration<double> time_constant;
    double rate = 0;
    instant updated_at{};
};

} // namespace bilberrylead::policy

#endif
