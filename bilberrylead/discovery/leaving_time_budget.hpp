#ifndef BILBERRYLEAD_DISCOVERY_LEAVING_TIME_BUDGET_HPP
#define BILBERRYLEAD_DISCOVERY_LEAVING_TIME_BUDGET_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <chrono>

namespace bilberrylead::discovery
{

/// Division of the time from the listing of a leaving upstream to the arrival
/// of its last request. What the other legs leave is the interval at which the
/// list is read, so that a slower leg makes the readings more frequent.
struct leaving_time_budget
{
    /// Bound on the whole time.
    duration bound = std::chrono::seconds(3);
    /// Delay of the timer that starts a reading.
    duration timer = std::chrono::milliseconds(100);
    /// From the leader to the slowest entry host: between two regions, and half
    /// a second at the host's link.
    duration delivery = std::chrono::milliseconds(600);
    /// From an entry host's last check to the arrival at the upstream, over the
    /// same link.
    duration sending = std::chrono::milliseconds(600);
    /// Shortest interval at which the list is read.
    duration min_interval = std::chrono::milliseconds(400);

    /// Time that is left for the interval between two readings if `failed_call`
    /// is what one failed call adds to a reading. Below `min_interval` the
    /// bound cannot be kept.
    constexpr duration remaining(duration failed_call) const
    {
        return this->bound - this->timer - this->delivery - this->sending -
               failed_call;
    }

    /// Interval between two readings, at most `longest`.
    constexpr duration reading_interval(duration failed_call,
                                        duration longest) const
    {
        return std::max(std::min(this->remaining(failed_call), longest),
                        this->min_interval);
    }
};

} // namespace bilberrylead::discovery

#endif
