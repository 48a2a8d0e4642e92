#ifndef BILBERRYLEAD_POLICY_PLACEMENT_REQUEST_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_REQUEST_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// The properties of a request that determine its placement.
struct placement_request
{
    /// Hash of the object that the request is about; 0 if it names none.
    std::uint64_t object = 0;
    /// Time left until the target latency is exceeded and the answer loses
    /// value; negative if that has passed.
    duration time_to_target{};
    /// Time left until the deadline, after which the answer has no value; over
    /// 0.
    duration time_to_deadline{};
    /// Number of the region that the request should run in. Other regions are
    /// used only if no upstream of this region may receive requests.
    std::uint32_t region = 0;
    /// Factor for the wait that the request tolerates, 0 to 1; at 0 it is
    /// placed only at an upstream with a free slot.
    double wait_tolerance = 1;
};

} // namespace bilberrylead::policy

#endif
