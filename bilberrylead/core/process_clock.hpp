#ifndef BILBERRYLEAD_CORE_PROCESS_CLOCK_HPP
#define BILBERRYLEAD_CORE_PROCESS_CLOCK_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead
{

/// The time that events carry.
inline instant clock_now()
{
    return std::chrono::steady_clock::now();
}

/// The wall clock, for people.
inline wall_time wall_clock_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace bilberrylead

#endif
