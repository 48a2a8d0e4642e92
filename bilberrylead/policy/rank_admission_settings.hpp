#ifndef BILBERRYLEAD_POLICY_RANK_ADMISSION_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_RANK_ADMISSION_SETTINGS_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace bilberrylead::policy
{

/// Settings of rank_admission.
struct rank_admission_settings
{
    /// Averaging time of the reported demand.
    std::chrono::duration<double> demand_window{1.5};
    /// Averaging time of refused and late shares. A host that sees three
    /// requests a second of a rank counts about ten of them.
    std::chrono::duration<double> outcome_window{3};
    /// Share of a rank's requests that may be refused or late before less
    /// urgent ranks are restricted; single refusals are normal.
    double tolerated_refusals = 0.01;
    /// Decrease of a threshold per second, per unit of refused share beyond the
    /// tolerated one.
    double fall_per_refused_share = 2;
    /// Largest decrease of a threshold per second.
    double max_fall_per_s = 0.5;
    /// Lower bound of the thresholds: this times the share of the present ranks
    /// that are not more urgent. An estimate of free slots is often a second
    /// old; with 0, slots in use fell from 0.94 to 0.89 in the model with 100
    /// hosts and 1.2 times the capacity.
    double min_threshold = 0.75;
    /// The same bound for requests beyond a planned share.
    double min_threshold_beyond_share = 0.2;
    /// Increase of a threshold per second while more urgent ranks are served.
    double rise_per_s = 0.25;
    /// Refused share over all ranks from which the thresholds of all but the
    /// most urgent rank are lowered in advance, in order of rank.
    double full_pressure = 0.1;
    /// Weight of a late answer relative to a refusal.
    double late_weight = 0.5;
    /// Largest change of a followed share per second. A customer's burst lasts
    /// 4 to 7 s, and a plan is a second or two old.
    double max_share_change_per_s = 0.5;
    /// Age up to which a plan has full weight.
    duration full_weight_age = std::chrono::seconds(5);
    /// Age from which a plan is ignored.
    duration ignored_age = std::chrono::seconds(10);
    /// Ranks that are counted separately; the last one includes all less urgent
    /// ones.
    std::size_t max_ranks = 16;
    /// Customers in a demand report.
    std::size_t max_reported_customers = 32;
    /// Customers whose demand is counted; more than are reported, so that a
    /// large customer is not displaced by many small ones.
    std::size_t max_tracked_customers = 64;
    /// Customers whose planned shares are kept.
    std::size_t max_planned_customers = 256;
};

} // namespace bilberrylead::policy

#endif
