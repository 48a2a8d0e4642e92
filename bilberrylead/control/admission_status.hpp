#ifndef BILBERRYLEAD_CONTROL_ADMISSION_STATUS_HPP
#define BILBERRYLEAD_CONTROL_ADMISSION_STATUS_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::control
{

/// Demand of one rank and the share of it that is admitted.
struct admission_rank_status
{
    /// Effective rank; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Demand in slots, over all regions.
    double demand = 0;
    /// Admitted share of the demand, 0 to 1.
    double share = 1;
};

/// A customer whose demand exceeds its fair share.
struct admission_customer_status
{
    /// The customer; empty for requests without one.
    customer_id customer;
    /// Effective rank of the requests.
    std::uint32_t rank = 0;
    /// Demand in slots, over all regions.
    double demand = 0;
    /// Admitted share of the demand, 0 to 1.
    double share = 1;
};

/// What the leader last planned for a service, for operators and metrics.
struct admission_status
{
    /// The service.
    service_id service;
    /// Slots of its upstreams that accept work, over all regions.
    double slots = 0;
    /// By rank, in ascending order; at most as many as a plan has.
    std::vector<admission_rank_status> ranks;
    /// The largest ones, in descending order of the refused demand; at most as
    /// many as a plan names.
    std::vector<admission_customer_status> customers;
};

} // namespace bilberrylead::control

#endif
