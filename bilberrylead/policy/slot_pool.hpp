#ifndef BILBERRYLEAD_POLICY_SLOT_POOL_HPP
#define BILBERRYLEAD_POLICY_SLOT_POOL_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// The slots that a queue stands in front of, as admission sees them.
struct slot_pool
{
    /// Slots that may be used now.
    std::uint32_t usable = 0;
    /// Slots that are free now.
    std::uint32_t free = 0;
    /// Slots that long work holds.
    std::uint32_t long_held = 0;
    /// Slots that brief work held on average of late.
    double brief_average = 0;
    /// Mean time that a brief request holds a slot; over 0.
    duration brief_time = std::chrono::milliseconds(20);
    /// Time that all but a few brief requests take from slot to answer.
    duration brief_reserve = std::chrono::milliseconds(200);
    /// Mean time that a long request holds a slot; over 0.
    duration long_time = std::chrono::seconds(2);
};

} // namespace bilberrylead::policy

#endif
