#include "bilberrylead/policy/customer_demand_counter.hpp"

#include <algorithm>

namespace bilberrylead::policy
{

customer_demand_counter::customer_demand_counter(
    std::chrono::duration<double> averaging_time, std::size_t capacity)
    : averaging_time(averaging_time), capacity(capacity)
{
}

void customer_demand_counter::record(std::uint32_t rank,
                                     customer_id const& customer, instant now)
{
    auto smallest = this->rows.end();
    double smallest_rate = 0;
    for (auto each = this->rows.begin(); each != this->rows.end(); ++each)
    {
        if (each->rank == rank && each->customer == customer)
        {
            each->demand.add(now);
            return;
        }
        double const rate = each->demand.per_second(now);
        if (smallest == this->rows.end() || rate < smallest_rate)
        {
            smallest = each;
            smallest_rate = rate;
        }
    }
    if (this->rows.size() < this->capacity)
    {
        this->rows.push_back({customer, rank,
                              arrival_rate(this->averaging_time),
                              arrival_rate(this->averaging_time)});
        this->rows.back().demand.add(now);
        return;
    }
    smallest->customer = customer;
    smallest->rank = rank;
    smallest->error = smallest->demand;
    smallest->demand.add(now);
}

std::vector<customer_demand>
customer_demand_counter::largest(double run_s, double min_rate,
                                 std::size_t max_rows, instant now) const
{
    std::vector<customer_demand> result;
    for (row const& each : this->rows)
    {
        double const rate =
            each.demand.per_second(now) - each.error.per_second(now);
        if (rate >= min_rate)
        {
            result.push_back({each.customer, each.rank, rate * run_s});
        }
    }
    std::sort(result.begin(), result.end(),
              [](customer_demand const& one, customer_demand const& other)
              {
                  return one.slots > other.slots;
              });
    if (result.size() > max_rows)
    {
        result.resize(max_rows);
    }
    return result;
}

} // namespace bilberrylead::policy
