#ifndef BILBERRYLEAD_POLICY_UPSTREAM_REST_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_REST_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Settings of upstream_rest.
struct upstream_rest_settings
{
    /// Longest rest that is honoured. A longer one is most likely a mistake of
    /// the upstream, which would otherwise stay unused until it is restarted.
    duration max_rest = std::chrono::hours(1);
    /// Longest random extension of a rest, as a share of the rest.
    double max_extension_share = 0.25;
    /// Longest random extension of a rest.
    duration max_extension = std::chrono::seconds(2);
};

} // namespace bilberrylead::policy

#endif
