#ifndef BILBERRYLEAD_DISCOVERY_LEAVING_TIME_BUDGET_HPP
#define BILBERRYLEAD_DISCOVERY_LEAVING_TIME_BUDGET_HPP

#include "bilberrylead/core/time.hpp"

#include <algorithm>
#include <chrono>

namespace bilberrylead::discovery
{

/// Legs of that way that are measured while the system runs.
struct measured_legs
{
    /// From the start of a reading to its last page. A page may come first in
    /// one reading and last in the next.
    duration reading{};
    /// What one failed call adds to a reading.
    duration failed_call{};
    /// From the sending of a listing to its last confirmation.
    duration delivery{};
};

/// Division of the time from the listing of a leaving upstream to the arrival
/// of its last request. What the other legs leave is the interval at which the
/// list is read, so that a slower leg makes the readings more frequent.
struct leaving_time_budget
{
    /// Bound on the whole time.
    duration bound = std::chrono::seconds(3);
    /// Delay of the timer that starts a reading.
    duration timer = std::chrono::milliseconds(100);
    /// From the leader to the slowest entry host, at least: between two
    /// regions, and half a second at the host's link.
    duration delivery = std::chrono::milliseconds(600);
    /// The same at most: a host that stands still for longer does not make the
    /// readings more frequent.
    duration max_delivery = std::chrono::milliseconds(1500);
    /// From an entry host's last check to the arrival at the upstream, over the
    /// same link.
    duration sending = std::chrono::milliseconds(600);
    /// Shortest interval at which the list is read.
    duration min_interval = std::chrono::milliseconds(400);

    /// Time that is left for the interval between two readings. Below
    /// `min_interval` the bound cannot be kept.
    constexpr duration remaining(measured_legs const& legs) const
    {
        return this->bound - this->timer - this->sending - legs.reading -
               legs.failed_call -
               std::clamp(legs.delivery, this->delivery, this->max_delivery);
    }

    /// Interval between two readings, at most `longest`.
    constexpr duration reading_interval(measured_legs const& legs,
                                        duration longest) const
    {
        return std::max(std::min(this->remaining(legs), longest),
                        this->min_interval);
    }
};

} // namespace bilberrylead::discovery

#endif
