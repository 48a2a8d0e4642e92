#ifndef BILBERRYLEAD_POLICY_SLOT_POOL_HPP
#define BILBERRYLEAD_POLICY_SLOT_POOL_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// State of the slots that a queue feeds, as input to admission.
struct slot_pool
{
    /// Slots that may be used now.
    std::uint32_t usable = 0;
    /// Slots that are free now.
    std::uint32_t free = 0;
    /// Slots held by long work.
    std::uint32_t long_held = 0;
    /// Recent average number of slots held by brief work.
    double brief_average = 0;
    /// Mean time that a brief request holds a slot; over 0.
    duration brief_time = std::chrono::milliseconds(20);
    /// Time from slot to answer that all but a few brief requests stay under.
    duration brief_reserve = std::chrono::milliseconds(200);
    /// Mean time that a long request holds a slot; over 0.
    duration long_time = std::chrono::seconds(2);
};

} // namespace bilberrylead::policy

#endif
