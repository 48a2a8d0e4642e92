#ifndef BILBERRYLEAD_POLICY_CUSTOMER_LIMIT_STATUS_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_LIMIT_STATUS_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// How much of its limit a customer uses, as the leader knows it.
struct customer_limit_status
{
    customer_id customer;
    /// Limit in requests a second.
    double rate = 0;
    /// Requests that may be saved up.
    double burst = 0;
    /// Requests that are saved up; negative after an excess.
    double saved = 0;
    /// Requests a second that arrive, accepted or not.
    double demand = 0;
    /// Requests that arrived since the host became the leader.
    std::uint64_t arrived = 0;
    /// Of these, requests that were refused because of the limit.
    std::uint64_t refused = 0;
    /// Entry hosts that hold a share of the limit.
    std::size_t share_holders = 0;
};

} // namespace bilberrylead::policy

#endif
