#ifndef BILBERRYLEAD_CONFIG_CONTROL_SETTINGS_HPP
#define BILBERRYLEAD_CONFIG_CONTROL_SETTINGS_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/host_address.hpp"
#include "bilberrylead/config/operator_key.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/log.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace bilberrylead::config
{

/// What a control host reads at its start and keeps until its end.
struct control_settings
{
    /// Its name, one of `control_hosts`.
    host_id id;
    /// The availability zone it stands in.
    zone_id zone;
    /// The zone's region.
    region_id region;
    /// The folder that holds all of its state. It must be there and belong
    /// to this host alone.
    std::string data_folder;
    /// Where it listens for other hosts of the system.
    endpoint peer_listen;
    /// Where it listens for operators.
    endpoint operator_listen;
    /// Where it serves /metrics.
    endpoint metrics_listen;
    /// All control hosts, itself among them; 1, 3, 5 or 7.
    std::vector<host_address> control_hosts;
    /// What hosts of the system prove themselves with to each other; 32 to
    /// 256 letters, the same on every host. Never logged.
    std::string peer_key;
    /// Who may change the configuration; at least one.
    std::vector<operator_key> operators;
    /// The lowest level that is logged.
    log_level lowest_log_level = log_level::info;

    friend bool operator==(control_settings const&,
                           control_settings const&) = default;
};

/// Reads control host settings from JSON with comments and checks them
/// whole; errors as in parse_configuration. Never throws.
absl::StatusOr<control_settings>
parse_control_settings(std::string_view text, std::string_view source_name);

} // namespace bilberrylead::config

#endif
