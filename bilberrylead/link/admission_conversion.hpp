#ifndef BILBERRYLEAD_LINK_ADMISSION_CONVERSION_HPP
#define BILBERRYLEAD_LINK_ADMISSION_CONVERSION_HPP

#include "bilberrylead/link/messages/admission_rows.hpp"
#include "bilberrylead/policy/admission_demand.hpp"
#include "bilberrylead/policy/admission_plan.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace bilberrylead::link
{

/// Bytes that the customers of all services may take in a message, before it is
/// packed. A report and a plan go over the link of a host each second, whose
/// control traffic is limited to 5 KB a second.
inline constexpr std::size_t max_admission_customer_bytes = 2'800;

/// Removes customers with small demand until the limit above is kept; every
/// service keeps its largest ones.
void limit_customers(std::vector<admission_rows>& services);

/// The reports as they are sent. What exceeds the limits of a message is
/// shortened: services and customers at the end are left out, less urgent ranks
/// are added to the last one that fits, and demand and the bytes of customers
/// are limited.
std::vector<admission_rows>
to_rows(std::span<policy::admission_demand const> demands);

/// The plan of one service as it is sent, shortened to the limits of a message.
/// A share above 0 stays above 0.
admission_rows to_rows(policy::admission_plan const& plan);

/// A host's demand for a service as it was received.
policy::admission_demand to_demand(admission_rows const& rows);

/// The plan of one service for the entry hosts of `region` as it was received.
policy::admission_plan to_plan(admission_rows const& rows,
                               region_id const& region);

} // namespace bilberrylead::link

#endif
