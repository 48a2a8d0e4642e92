#ifndef BILBERRYLEAD_CONFIG_ENTRY_SETTINGS_HPP
#define BILBERRYLEAD_CONFIG_ENTRY_SETTINGS_HPP

#include "bilberrylead/config/admission_mode.hpp"
#include "bilberrylead/config/cold_bounds.hpp"
#include "bilberrylead/config/customer_limit_bounds.hpp"
#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/entry_limits.hpp"
#include "bilberrylead/config/host_address.hpp"
#include "bilberrylead/config/object_homes.hpp"
#include "bilberrylead/config/pipelining_limits.hpp"
#include "bilberrylead/config/place.hpp"
#include "bilberrylead/config/retry_bounds.hpp"
#include "bilberrylead/config/waiting_place.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/time.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrylead::config
{

/// What an entry host reads at its start and keeps until its end.
struct entry_settings
{
    /// Its name, as in the configuration's entry hosts.
    host_id id;
    /// The availability zone it stands in.
    zone_id zone;
    /// The zone's region.
    region_id region;
    /// Where it listens for callers.
    endpoint caller_listen;
    /// Where it listens for other hosts of the system.
    endpoint peer_listen;
    /// Where it serves /metrics.
    endpoint metrics_listen;
    /// The control hosts it asks; at least one.
    std::vector<host_address> control_hosts;
    /// Entry hosts of its own zone, for catching up while the zone is cut
    /// off; without itself.
    std::vector<host_address> neighbours;
    /// What hosts of the system prove themselves with to each other; 32 to
    /// 256 letters, the same on every host. Never logged.
    std::string peer_key;
    /// What it spends on callers at most.
    entry_limits limits;
    /// Where it tells whether it is ready, besides the callers' port; port 0
    /// is nowhere.
    endpoint readiness_listen;
    /// Control hosts it asks first, by any of their ports, instead of
    /// `control_hosts`: the others become known from them. Their peer port
    /// is this host's own.
    std::vector<endpoint> seeds;
    /// True if the group forms itself even where no seed is known: after a loss
    /// of all control hosts there may be none to name.
    bool forms_group = false;
    /// The availability zones and their regions, where the configuration
    /// names none.
    std::vector<place> places;
    /// One-way latency between regions that have no link configured.
    duration region_latency = std::chrono::milliseconds(35);
    /// Longest time from the order to stop until the process has ended;
    /// zero: until nothing is under way.
    duration stop_time{};
    /// How long a host that starts waits for the revisions of further control
    /// hosts after the first one; zero: the first one heard is put in force.
    /// A remote region's control host answers four round trips (280 ms) after
    /// it was called: connection, upgrade, handshake, subscription.
    duration first_revision_wait = std::chrono::milliseconds(400);
    /// How long callers may use a steering answer.
    duration steering_ttl = std::chrono::seconds(5);
    /// What all entry hosts together may send beyond first tries.
    retry_bounds retries;
    /// What all entry hosts together may send to a cold upstream.
    cold_bounds cold;
    /// What all entry hosts together may accept of a customer.
    customer_limit_bounds customer_limits;
    /// Rate of the host's link each way, Mbit/s; long answers are paced so
    /// that they do not fill it. 0: not known, nothing is paced.
    double link_rate = 0;
    /// Where requests wait while all slots are taken.
    waiting_place waiting = waiting_place::entry_host;
    /// Largest set of upstreams among which objects have their homes.
    object_homes homes = object_homes::region;
    /// Cost of sending a request to another zone of the region, as time added
    /// to its expected completion; used with homes in the zone.
    duration zone_crossing_cost{};
    /// Number of objects that an upstream caches.
    std::uint32_t remembered_objects = 12;
    /// Whose requests are admitted while capacity is insufficient.
    admission_mode admission = admission_mode::none;
    /// How far it works ahead on one caller connection.
    pipelining_limits pipelining;
    /// The lowest level that is logged.
    log_level lowest_log_level = log_level::info;

    friend bool operator==(entry_settings const&,
                           entry_settings const&) = default;

    /// True if the group forms itself, so that control hosts become known from
    /// seeds, from each other and from the data folder.
    bool forms_itself() const
    {
        return this->forms_group || !this->seeds.empty();
    }
};

/// Reads entry host settings from JSON with comments and checks them
/// whole; errors as in parse_configuration. Never throws.
absl::StatusOr<entry_settings>
parse_entry_settings(std::string_view text, std::string_view source_name);

} // namespace bilberrylead::config

#endif
