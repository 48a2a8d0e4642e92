#ifndef BILBERRYLEAD_POLICY_CUSTOMER_REPORT_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_REPORT_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/policy/customer_usage.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::policy
{

/// An entry host's report about its customers with limits.
struct customer_report
{
    /// Number of the report, from 1; increases in each incarnation.
    std::uint64_t number = 0;
    /// Revision of the configuration that the limits are from.
    revision configuration = 0;
    /// Customers for which something changed or that the host holds a share of.
    std::vector<customer_usage> rows;
};

} // namespace bilberrylead::policy

#endif
