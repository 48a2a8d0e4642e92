#ifndef BILBERRYLEAD_POLICY_SHIFT_PLANNER_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_SHIFT_PLANNER_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace bilberrylead::policy
{

/// Settings of shift_planner and plan_follower.
struct shift_planner_settings
{
    /// Largest share of a region's callers that moves in one interval, in
    /// thousandths, 1 to 1000.
    std::uint32_t cap = 100;
    /// The interval that the cap counts for. Longer than it takes until a
    /// move shows in the measurements (answers cached by clients, lagging
    /// reports), or the next step would answer the last one's echo.
    duration interval = std::chrono::seconds(10);
    /// How long a step may be taken. Under two intervals: a host that was
    /// cut off for longer holds what it has.
    duration valid_for = std::chrono::seconds(15);
    /// Age at which a region's measurement is no basis for a move.
    duration measurement_lifetime = std::chrono::seconds(5);
    /// Use of a region's slots beyond which its callers go elsewhere, and
    /// up to which it takes others'. 85 % leaves room for a burst while a
    /// step is under way.
    double largest_use = 0.85;
    /// Use below which callers come back to their own region: clearly under
    /// largest_use, so that they do not come and go.
    double return_use = 0.7;
    /// What a slot with a cold cache is worth, 0 to 1. A cold upstream took
    /// five times as long in the users' trials; a quarter is near that.
    double cold_worth = 0.25;
};

} // namespace bilberrylead::policy

#endif
