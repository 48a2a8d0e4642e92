#ifndef BILBERRYLEAD_CORE_PROCESS_CLOCK_HPP
#define BILBERRYLEAD_CORE_PROCESS_CLOCK_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead
{

/// Current monotonic time of this process, used as the time of events. Time
/// during which the machine was suspended counts: a lease that ended meanwhile
/// has ended. Timers go by the steady clock: give them the time that remains.
instant clock_now();

/// Current wall-clock time, for display only. No decision depends on it.
inline wall_time wall_clock_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace bilberrylead

#endif
