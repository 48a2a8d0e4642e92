#ifndef BILBERRYLEAD_POLICY_CUSTOMER_USAGE_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_USAGE_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// What one entry host reports about one customer with a limit.
struct customer_usage
{
    customer_id customer;
    /// The customer's limit in the configuration that the host has in force,
    /// in requests in 1000 s.
    std::uint64_t rate = 0;
    /// Requests that may be saved up.
    std::uint64_t burst = 0;
    /// Requests that arrived since the previous report.
    std::uint32_t arrived = 0;
    /// Of these, requests that were accepted and not given back. May be
    /// negative, since requests of earlier reports may have been given back.
    std::int32_t accepted = 0;
    /// Share of the limit that the host holds, in millionths.
    std::uint32_t share = 0;

    friend bool operator==(customer_usage const&,
                           customer_usage const&) = default;
};

} // namespace bilberrylead::policy

#endif
