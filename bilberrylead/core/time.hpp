#ifndef BILBERRYLEAD_CORE_TIME_HPP
#define BILBERRYLEAD_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace bilberrylead
{

/// Length of time, in the finest unit that any part needs.
using duration = std::chrono::nanoseconds;

/// A point on this process's own monotonic clock. Never sent to another
/// process: two hosts' monotonic clocks have nothing in common.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point on the wall clock, for people (audit trail, logs). It may jump;
/// no decision is taken from it.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// The length times a factor, rounded towards zero.
inline duration scaled(duration time, double factor)
{
    return duration(
        static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace bilberrylead

#endif
