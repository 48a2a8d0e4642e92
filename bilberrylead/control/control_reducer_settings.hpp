#ifndef BILBERRYLEAD_CONTROL_CONTROL_REDUCER_SETTINGS_HPP
#define BILBERRYLEAD_CONTROL_CONTROL_REDUCER_SETTINGS_HPP

#include "bilberrylead/agreement/replica_settings.hpp"
#include "bilberrylead/catalog/catalog_settings.hpp"
#include "bilberrylead/config/admission_mode.hpp"
#include "bilberrylead/config/place.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_reader_settings.hpp"
#include "bilberrylead/membership/member_planner_settings.hpp"
#include "bilberrylead/once/once_settings.hpp"
#include "bilberrylead/policy/admission_planner_settings.hpp"
#include "bilberrylead/policy/customer_limit_settings.hpp"
#include "bilberrylead/policy/rank_admission_settings.hpp"
#include "bilberrylead/policy/region_plan_settings.hpp"
#include "bilberrylead/presence/entry_table_settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::control
{

/// Settings of a control host's reducer, fixed for its lifetime.
struct control_reducer_settings
{
    /// This host.
    host_id self;
    /// Incarnation of its data folder.
    std::uint64_t incarnation = 1;
    /// Timing and size limits of the replicated log.
    agreement::replica_settings replica;
    /// Limits on the accepted configurations.
    catalog::catalog_settings catalog;
    /// Limits on the run-at-most-once records.
    once::once_settings once;
    /// How long the confirmation of a change may wait until all linked entry
    /// hosts have it in force. It waits without a bound until a quorum knows
    /// that the change is committed. Zero: it is confirmed as soon as this host
    /// knows, and waits for neither.
    duration confirmation_wait{};
    /// Time from a change of leader until the entry hosts have linked to the
    /// new leader, also after a restart of all control hosts. Until then it
    /// does not know which of them must have a change in force.
    duration entry_link_time = std::chrono::milliseconds(500);
    /// Interval at which the leader advances the log's time. Half of the
    /// largest step that the state machine counts in full, so that a delayed
    /// step loses no time.
    duration time_step = std::chrono::seconds(5);
    /// This host's availability zone.
    zone_id zone;
    /// The zone's region.
    region_id region;
    /// How the leader maintains the group's size; empty if operators manage
    /// the membership themselves.
    std::optional<membership::member_planner_settings> planner;
    /// Interval at which the leader plans the membership. A change takes a
    /// quorum round trip between regions (70 ms) plus syncs, so at every
    /// second run the previous change is complete.
    duration membership_plan_interval = std::chrono::milliseconds(150);
    /// How the upstream list is read; empty if the configuration itself
    /// contains the upstreams.
    std::optional<discovery::list_reader_settings> list;
    /// Interval at which a follower requests a newer listing from the leader,
    /// in case it missed an update.
    duration listing_refresh = std::chrono::seconds(1);
    /// How requests are distributed over regions.
    policy::region_plan_settings regions;
    /// Minimum interval between group updates that change only the number of
    /// entry hosts. The number changes constantly while many of them restart,
    /// and each update is sent to every host.
    duration entry_count_interval = std::chrono::milliseconds(500);
    /// Time from a change of leader until the new leader first plans regions.
    /// Entry hosts link to a leader only once they learn of it; a plan based
    /// on the demand of the first few would move callers of entire regions.
    duration region_plan_delay = std::chrono::milliseconds(1500);
    /// Interval at which the leader plans regions. Demand arrives with the
    /// heartbeats, two a second.
    duration region_plan_interval = std::chrono::seconds(1);
    /// Whether the leader plans which requests are admitted.
    config::admission_mode admission = config::admission_mode::none;
    /// How it plans them.
    policy::admission_planner_settings admission_plan;
    /// Time for which an entry host's report on its demand counts. Hosts report
    /// once a second; the report of a host that is cut off counts until other
    /// hosts have received its callers.
    duration admission_report_lifetime = std::chrono::seconds(4);
    /// Smallest part of the entry hosts present whose reports are needed for a
    /// plan. A plan from few reports would refuse nobody.
    double min_reporting_present = 0.75;
    /// The same, as a part of the largest recent number of entry hosts. Guards
    /// against a new leader that has linked only a few hosts so far. Less than
    /// the part above, so that a plan remains while a region is cut off.
    double min_reporting_recent = 0.5;
    /// Age from which entry hosts ignore an admission plan; an older one is not
    /// passed on.
    duration max_admission_age = policy::rank_admission_settings().ignored_age;
    /// Largest group in which every entry host links to every control host, so
    /// that reports of one entry host to the others need not be passed on to
    /// other control hosts; 0 if entry hosts link to listed ones only.
    std::size_t max_fully_linked_hosts = 0;
    /// How customers' limits are divided among entry hosts.
    policy::customer_limit_settings customer_limits;
    /// The zones and their regions; if empty, no regions are planned.
    std::vector<config::place> places;
    /// How entry hosts are tracked and selected for callers.
    presence::entry_table_settings entries;
};

} // namespace bilberrylead::control

#endif
