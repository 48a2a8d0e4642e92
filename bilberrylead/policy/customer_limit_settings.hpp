#ifndef BILBERRYLEAD_POLICY_CUSTOMER_LIMIT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_CUSTOMER_LIMIT_SETTINGS_HPP

#include "bilberrylead/config/customer_limit_bounds.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// How the limit of a customer is divided among entry hosts. The same on entry
/// and control hosts.
struct customer_limit_settings
{
    /// How long an entry host may use a share after the report that the share
    /// answers. Longer than usual partitions, so that a host that is cut off
    /// continues to serve its callers; the share is not given to another host
    /// before.
    duration lease_time = std::chrono::seconds(15);
    /// Interval between reports of a host that receives requests, and between
    /// allocations.
    duration report_interval = std::chrono::milliseconds(250);
    /// Shortest interval between reports, and between allocations, while
    /// customers use more than their shares.
    duration urgent_interval = std::chrono::milliseconds(50);
    /// Interval between reports of a host without requests.
    duration idle_report_interval = std::chrono::seconds(1);
    /// Age of a host's last report after which its shares are kept for it but
    /// not changed.
    duration silence = std::chrono::milliseconds(1500);
    /// Age of the answered report after which the starters of an allocation
    /// may no longer be used.
    duration starter_time = std::chrono::milliseconds(2500);
    /// Time constant of the average of a customer's requests at a host.
    duration demand_time = std::chrono::seconds(5);
    /// Largest number of requests that a host may accept beyond its share
    /// between two allocations, while at least half of the burst is saved up.
    std::uint32_t max_starters = 4;
    /// Saved requests for each starter of every host.
    std::uint32_t burst_per_starter = 5;
    /// Largest number of hosts that hold a share of a small limit: each may
    /// save up one request.
    std::size_t min_share_holders = 5;
    /// Smallest part of the limit that is allocated while more was used than
    /// the limit allows.
    double min_repayment_factor = 0.2;
    /// What all hosts together may accept; the part beyond the limit is the
    /// reserve of hosts that receive no allocation.
    config::customer_limit_bounds bounds;
    /// Part of that which these hosts use.
    double reserve_part = 0.6;
    /// Windows in which a host's reserve fills.
    double reserve_windows = 4;
};

} // namespace bilberrylead::policy

#endif
