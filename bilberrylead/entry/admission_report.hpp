#ifndef BILBERRYLEAD_ENTRY_ADMISSION_REPORT_HPP
#define BILBERRYLEAD_ENTRY_ADMISSION_REPORT_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/policy/admission_basis.hpp"

#include <cstdint>

namespace bilberrylead::entry
{

/// How a refused request was admitted or restricted. For the log.
struct admission_report
{
    /// Effective rank of the request; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Factor for the wait that the request tolerated, 0 to 1.
    double wait_tolerance = 1;
    /// Threshold and shares at the time of the refusal.
    policy::admission_basis basis;
    /// The leader that made the plan; empty without a plan.
    host_id source;
};

} // namespace bilberrylead::entry

#endif
