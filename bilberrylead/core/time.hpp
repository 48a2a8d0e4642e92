#ifndef BILBERRYLEAD_CORE_TIME_HPP
#define BILBERRYLEAD_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace bilberrylead
{

/// Length of time, in nanoseconds.
using duration = std::chrono::nanoseconds;

/// A point on the monotonic clock of this process. Never sent to another
/// process, because the monotonic clocks of two hosts are unrelated.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point on the wall clock, for display (audit trail, logs). It may jump, so
/// no decision depends on it.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// `time` multiplied by `factor`, rounded towards zero.
inline duration scaled(duration time, double factor)
{
    return duration(
        static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace bilberrylead

#endif
