#ifndef BILBERRYLEAD_LINK_ADMISSION_CONVERSION_HPP
#define BILBERRYLEAD_LINK_ADMISSION_CONVERSION_HPP

#include "bilberrylead/link/messages/admission_rows.hpp"
#include "bilberrylead/policy/admission_demand.hpp"
#include "bilberrylead/policy/admission_plan.hpp"

#include <span>
#include <vector>

namespace bilberrylead::link
{

/// The reports as they are sent. What exceeds the limits of a message is
/// shortened: services and customers at the end are left out, less urgent ranks
/// are added to the last one that fits, and demand is limited.
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
