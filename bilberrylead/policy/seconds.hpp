#ifndef BILBERRYLEAD_POLICY_SECONDS_HPP
#define BILBERRYLEAD_POLICY_SECONDS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// A duration in seconds, for rates.
inline double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// A time in seconds as a duration.
inline duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace bilberrylead::policy

#endif
