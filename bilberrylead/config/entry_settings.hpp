#ifndef BILBERRYLEAD_CONFIG_ENTRY_SETTINGS_HPP
#define BILBERRYLEAD_CONFIG_ENTRY_SETTINGS_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/entry_limits.hpp"
#include "bilberrylead/config/host_address.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/log.hpp"

#include <absl/status/statusor.h>

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
    /// The lowest level that is logged.
    log_level lowest_log_level = log_level::info;

    friend bool operator==(entry_settings const&,
                           entry_settings const&) = default;
};

/// Reads entry host settings from JSON with comments and checks them
/// whole; errors as in parse_configuration. Never throws.
absl::StatusOr<entry_settings>
parse_entry_settings(std::string_view text, std::string_view source_name);

} // namespace bilberrylead::config

#endif
