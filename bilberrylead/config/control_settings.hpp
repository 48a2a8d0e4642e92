#ifndef BILBERRYLEAD_CONFIG_CONTROL_SETTINGS_HPP
#define BILBERRYLEAD_CONFIG_CONTROL_SETTINGS_HPP

#include "bilberrylead/config/admission_mode.hpp"
#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/group_losses.hpp"
#include "bilberrylead/config/host_address.hpp"
#include "bilberrylead/config/operator_key.hpp"
#include "bilberrylead/config/operator_trust.hpp"
#include "bilberrylead/config/place.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/time.hpp"

#include <absl/status/statusor.h>

#include <chrono>
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
    /// All control hosts, itself among them; 1, 3, 5 or 7. Empty where the
    /// group forms itself (`seeds`).
    std::vector<host_address> control_hosts;
    /// Control hosts that are asked first, by any of their ports. With
    /// seeds the group founds itself, takes hosts in and replaces lost ones
    /// without an operator; each control host is named by its IP address,
    /// and all have the same ports.
    std::vector<endpoint> seeds;
    /// True if the group forms itself even where no seed is known: after a loss
    /// of all control hosts there may be none to name.
    bool forms_group = false;
    /// True only while the whole system starts for the first time, with
    /// blank data folders: the seeds found the group then.
    bool first_start = false;
    /// What the group must bear at once without losing anything.
    group_losses losses;
    /// Where it answers callers that ask which entry host to use; port 0 is
    /// nowhere.
    endpoint steering_listen;
    /// How long callers may use a steering answer.
    duration steering_ttl = std::chrono::seconds(5);
    /// The availability zones and their regions.
    std::vector<place> places;
    /// Where the list of upstreams is read; port 0: the configuration names
    /// them.
    endpoint upstream_list;
    /// Calls a second that the list takes from all hosts together; 0: none
    /// are stated.
    double upstream_list_calls = 1;
    /// Time within which an upstream that the list shows as leaving must
    /// receive no more requests.
    duration leaving_bound = std::chrono::seconds(3);
    /// How long an accepted change may wait for the entry hosts before the
    /// operator is told. Operators turn to another host after a second.
    duration confirmation_wait = std::chrono::milliseconds(500);
    /// Whether the leader plans which requests entry hosts admit; by_rank
    /// concerns entry hosts only.
    admission_mode admission = admission_mode::none;
    /// Whom the operators' port trusts.
    operator_trust trust = operator_trust::by_key;
    /// What hosts of the system prove themselves with to each other; 32 to
    /// 256 letters, the same on every host. Never logged.
    std::string peer_key;
    /// Who may change the configuration; at least one.
    std::vector<operator_key> operators;
    /// The lowest level that is logged.
    log_level lowest_log_level = log_level::info;

    friend bool operator==(control_settings const&,
                           control_settings const&) = default;

    /// True if the group forms itself, so that control hosts become known from
    /// seeds, from each other and from the data folder.
    bool forms_itself() const
    {
        return this->forms_group || !this->seeds.empty();
    }
};

/// Reads control host settings from JSON with comments and checks them
/// whole; errors as in parse_configuration. Never throws.
absl::StatusOr<control_settings>
parse_control_settings(std::string_view text, std::string_view source_name);

} // namespace bilberrylead::config

#endif
