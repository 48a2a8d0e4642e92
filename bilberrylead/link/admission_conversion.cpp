#include "bilberrylead/link/admission_conversion.hpp"

#include "bilberrylead/link/thousandths.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::link
{

namespace
{

/// Bytes of a customer's row besides its name: length, rank and amount.
constexpr std::size_t customer_row_overhead = 10;

std::uint32_t to_sent_demand(double slots)
{
    double const largest = from_thousandths(max_admission_demand);
    return slots > 0 ? to_thousandths(std::min(slots, largest)) : 0;
}

std::uint32_t to_sent_share(double share)
{
    if (!(share > 0))
    {
        return 0;
    }
    return std::max<std::uint32_t>(1, to_thousandths(std::min(share, 1.0)));
}

/// Appends the values of the ranks and customers to a demand or a plan.
template <class Content>
void append_values(admission_rows const& rows, Content& content)
{
    for (admission_rank const& each : rows.ranks)
    {
        content.ranks.push_back({each.rank, from_thousandths(each.amount)});
    }
    for (admission_customer const& each : rows.customers)
    {
        content.customers.push_back(
            {each.customer, each.rank, from_thousandths(each.amount)});
    }
}

admission_rows to_rows(policy::admission_demand const& demand)
{
    admission_rows rows;
    rows.service = demand.service;
    double beyond = 0;
    for (std::size_t index = 0; index < demand.ranks.size(); ++index)
    {
        policy::rank_demand const& each = demand.ranks[index];
        if (index + 1 < max_admission_ranks)
        {
            rows.ranks.push_back({each.rank, to_sent_demand(each.slots)});
            continue;
        }
        beyond += each.slots;
        if (rows.ranks.size() < max_admission_ranks)
        {
            rows.ranks.push_back({each.rank, 0});
        }
        rows.ranks.back().amount = to_sent_demand(beyond);
    }
    for (policy::customer_demand const& each : demand.customers)
    {
        std::uint32_t const slots = to_sent_demand(each.slots);
        if (slots > 0 && rows.customers.size() < max_admission_customers)
        {
            rows.customers.push_back({each.customer, each.rank, slots});
        }
    }
    return rows;
}

} // namespace

void limit_customers(std::vector<admission_rows>& services)
{
    std::size_t remaining = max_admission_customer_bytes;
    for (std::size_t position = 0; position < max_admission_customers;
         ++position)
    {
        for (admission_rows& service : services)
        {
            if (position >= service.customers.size())
            {
                continue;
            }
            std::size_t const size =
                service.customers[position].customer.text().size() +
                customer_row_overhead;
            if (size > remaining)
            {
                service.customers.resize(position);
                continue;
            }
            remaining -= size;
        }
    }
}

std::vector<admission_rows>
to_rows(std::span<policy::admission_demand const> demands)
{
    std::vector<admission_rows> services;
    for (policy::admission_demand const& each : demands)
    {
        if (services.size() < max_admission_services)
        {
            services.push_back(to_rows(each));
        }
    }
    limit_customers(services);
    return services;
}

admission_rows to_rows(policy::admission_plan const& plan)
{
    admission_rows rows;
    rows.service = plan.service;
    for (policy::rank_share const& each : plan.ranks)
    {
        if (rows.ranks.size() < max_admission_ranks)
        {
            rows.ranks.push_back({each.rank, to_sent_share(each.share)});
        }
    }
    for (policy::customer_share_of_rank const& each : plan.customers)
    {
        if (rows.customers.size() < max_admission_customers)
        {
            rows.customers.push_back(
                {each.customer, each.rank, to_sent_share(each.share)});
        }
    }
    return rows;
}

policy::admission_demand to_demand(admission_rows const& rows)
{
    policy::admission_demand demand;
    demand.service = rows.service;
    append_values(rows, demand);
    return demand;
}

policy::admission_plan to_plan(admission_rows const& rows,
                               region_id const& region)
{
    policy::admission_plan plan;
    plan.service = rows.service;
    plan.region = region;
    append_values(rows, plan);
    return plan;
}

} // namespace bilberrylead::link
