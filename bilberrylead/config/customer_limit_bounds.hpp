#ifndef BILBERRYLEAD_CONFIG_CUSTOMER_LIMIT_BOUNDS_HPP
#define BILBERRYLEAD_CONFIG_CUSTOMER_LIMIT_BOUNDS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::config
{

/// What all entry hosts together may accept of a customer in any window:
/// (rate * window + burst) * (1 + overshoot) + slack.
struct customer_limit_bounds
{
    /// Length of the window; over 0.
    duration window = std::chrono::seconds(5);
    /// Part of the limit that may be exceeded.
    double overshoot = 0.1;
    /// Requests in a window that are allowed besides.
    double slack = 20;

    friend bool operator==(customer_limit_bounds const&,
                           customer_limit_bounds const&) = default;
};

} // namespace bilberrylead::config

#endif
