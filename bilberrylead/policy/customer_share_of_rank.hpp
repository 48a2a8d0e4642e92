#ifndef BILBERRYLEAD_POLICY_CUSTOMER_SHARE_OF_RANK_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_SHARE_OF_RANK_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// Share of one customer's requests of one rank that is admitted.
struct customer_share_of_rank
{
    /// The customer.
    customer_id customer;
    /// Effective rank of the requests; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Admitted share, 0 to 1.
    double share = 1;
};

} // namespace bilberrylead::policy

#endif
