#ifndef BILBERRYLEAD_POLICY_ADMISSION_PLAN_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_PLAN_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/policy/customer_share_of_rank.hpp"
#include "bilberrylead/policy/rank_share.hpp"

#include <vector>

namespace bilberrylead::policy
{

/// Shares of the requests for a service that the entry hosts of a region admit.
/// Ranks that are not contained are admitted in full if they are more urgent
/// than all contained ones, else like the least urgent contained one.
struct admission_plan
{
    /// The service.
    service_id service;
    /// Region of the entry hosts.
    region_id region;
    /// Admitted shares by rank, in ascending order.
    std::vector<rank_share> ranks;
    /// Customers whose share differs from that of their rank.
    std::vector<customer_share_of_rank> customers;
};

} // namespace bilberrylead::policy

#endif
