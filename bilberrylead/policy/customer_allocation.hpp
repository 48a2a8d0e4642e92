#ifndef BILBERRYLEAD_POLICY_CUSTOMER_ALLOCATION_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_ALLOCATION_HPP

#include "bilberrylead/policy/customer_share.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::policy
{

/// What one entry host may use of the limits of all customers.
struct customer_allocation
{
    /// Number of the host's report that this answers.
    std::uint64_t report = 0;
    /// Starters of the customers that are not listed; these have no share.
    std::uint32_t default_starters = 0;
    /// Customers with a share or other starters.
    std::vector<customer_share> rows;
};

} // namespace bilberrylead::policy

#endif
