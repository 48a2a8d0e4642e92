#ifndef BILBERRYLEAD_CONTROL_CONTROL_REDUCER_SETTINGS_HPP
#define BILBERRYLEAD_CONTROL_CONTROL_REDUCER_SETTINGS_HPP

#include "bilberrylead/agreement/replica_settings.hpp"
#include "bilberrylead/catalog/catalog_settings.hpp"
#include "bilberrylead/config/place.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_reader_settings.hpp"
#include "bilberrylead/membership/member_planner_settings.hpp"
#include "bilberrylead/once/once_settings.hpp"
#include "bilberrylead/policy/region_plan_settings.hpp"
#include "bilberrylead/presence/entry_table_settings.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::control
{

/// What a control host's reducer needs to know from its start.
struct control_reducer_settings
{
    /// This host.
    host_id self;
    /// This life of its data folder.
    std::uint64_t incarnation = 1;
    /// How the log is paced.
    agreement::replica_settings replica;
    /// Bounds of the accepted configurations.
    catalog::catalog_settings catalog;
    /// Bounds of the run-at-most-once records.
    once::once_settings once;
    /// How often the leader moves the log's time on: half of the largest
    /// step that counts, so that a late one loses nothing.
    duration time_step = std::chrono::seconds(5);
    /// Where this host stands.
    zone_id zone;
    /// The zone's region.
    region_id region;
    /// How the group keeps its size; nothing if operators see to that.
    std::optional<membership::member_planner_settings> planner;
    /// How often the leader looks at the membership. A change takes a quorum
    /// round trip between regions (70 ms) and syncs, so that every second
    /// look finds the last one settled.
    duration membership_plan_interval = std::chrono::milliseconds(150);
    /// How the list of upstreams is read; nothing if the configuration
    /// names them.
    std::optional<discovery::list_reader_settings> list;
    /// How often a follower asks the leader for a newer listing, in case
    /// that it missed one.
    duration listing_refresh = std::chrono::seconds(1);
    /// How requests are planned over regions.
    policy::region_plan_settings regions;
    /// How often the number of entry hosts is told where the group itself is
    /// the same. While many of them are stopped and started it changes all
    /// the time, and each telling goes to every host.
    duration entry_count_interval = std::chrono::milliseconds(500);
    /// A new leader plans no regions before this: entry hosts link to it
    /// once they hear of it, and by the demand of the first few alone
    /// callers of whole regions would be moved.
    duration region_plan_delay = std::chrono::milliseconds(1500);
    /// How often the leader plans regions. Demands come with heartbeats, two
    /// a second.
    duration region_plan_interval = std::chrono::seconds(1);
    /// The zones and their regions; empty: nothing is planned.
    std::vector<config::place> places;
    /// How entry hosts are heard and named.
    presence::entry_table_settings entries;
};

} // namespace bilberrylead::control

#endif
