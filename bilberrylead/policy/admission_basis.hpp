#ifndef BILBERRYLEAD_POLICY_ADMISSION_BASIS_HPP
#define BILBERRYLEAD_POLICY_ADMISSION_BASIS_HPP

#include "bilberrylead/core/time.hpp"

#include <optional>

namespace bilberrylead::policy
{

/// The values by which a request was admitted or restricted. For the log.
struct admission_basis
{
    /// Factor from the host's own observations of more urgent ranks, 0 to 1.
    double threshold = 1;
    /// Admitted share of the rank by the plan, 0 to 1, at the plan's present
    /// weight; empty without a plan.
    std::optional<double> share;
    /// The same for the customer, if the plan names it.
    std::optional<double> customer_share;
    /// Age of the plan; empty without a plan.
    std::optional<duration> plan_age;
};

} // namespace bilberrylead::policy

#endif
