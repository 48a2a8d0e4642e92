#ifndef BILBERRYLEAD_POLICY_RANK_DEMAND_HPP
#define BILBERRYLEAD_POLICY_RANK_DEMAND_HPP

#include <cstdint>

namespace bilberrylead::policy
{

/// Demand for a service by requests of one rank.
struct rank_demand
{
    /// Effective rank of the requests; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Slots that the offered requests would occupy if all of them were served;
    /// 0 or more.
    double slots = 0;
};

} // namespace bilberrylead::policy

#endif
