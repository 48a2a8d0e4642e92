#ifndef BILBERRYLEAD_POLICY_CUSTOMER_SHARE_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_SHARE_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// What one entry host may use of the limit of one customer.
struct customer_share
{
    customer_id customer;
    /// Share of the limit, in millionths.
    std::uint32_t share = 0;
    /// Requests that the host may accept beyond its share until the next
    /// allocation.
    std::uint32_t starters = 0;

    friend bool operator==(customer_share const&,
                           customer_share const&) = default;
};

} // namespace bilberrylead::policy

#endif
