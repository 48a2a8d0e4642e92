#ifndef BILBERRYLEAD_POLICY_ADMISSION_DEMAND_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_DEMAND_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/policy/customer_demand.hpp"
#include "bilberrylead/policy/rank_demand.hpp"

#include <vector>

namespace bilberrylead::policy
{

/// One entry host's demand for a service.
struct admission_demand
{
    /// The service.
    service_id service;
    /// Demand by rank, at most 16 ranks, in ascending order; the last one
    /// includes all less urgent requests.
    std::vector<rank_demand> ranks;
    /// The customers with the largest demand, at most 32, in descending order.
    /// It is contained in the demand by rank.
    std::vector<customer_demand> customers;
};

} // namespace bilberrylead::policy

#endif
