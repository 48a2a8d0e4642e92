#ifndef BILBERRYLEAD_POLICY_PLACEMENT_REQUEST_HPP
#define BILBERRYLEAD_POLICY_PLACEMENT_REQUEST_HPP

#include "bilberrylead/core/time.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// What a request wants of a placement.
struct placement_request
{
    /// Hash of the object that it is about; 0 if it names none.
    std::uint64_t object = 0;
    /// Time left until its answer is worth less; negative if that is over.
    duration time_to_target{};
    /// Time left until its answer is worth nothing; over 0.
    duration time_to_deadline{};
    /// Number of the region it should run in; others only if that has no
    /// upstream that may get anything.
    std::uint32_t region = 0;
};

} // namespace bilberrylead::policy

#endif
