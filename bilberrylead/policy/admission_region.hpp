#ifndef BILBERRYLEAD_POLICY_ADMISSION_REGION_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_REGION_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/policy/admission_demand.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace bilberrylead::policy
{

/// Capacity of a region for one service, and the demand that its entry hosts
/// report.
struct admission_region
{
    /// The region.
    region_id region;
    /// Slots of its upstreams that accept work; 0 or more.
    double slots = 0;
    /// Demand by rank, in slots.
    std::map<std::uint32_t, double> ranks;
    /// Demand of the largest customers by rank, in slots.
    std::map<std::pair<std::uint32_t, customer_id>, double> customers;

    /// Adds the report of one entry host of the region.
    void add(admission_demand const& report)
    {
        for (rank_demand const& each : report.ranks)
        {
            this->ranks[each.rank] += each.slots;
        }
        for (customer_demand const& each : report.customers)
        {
            this->customers[{each.rank, each.customer}] += each.slots;
        }
    }
};

} // namespace bilberrylead::policy

#endif
