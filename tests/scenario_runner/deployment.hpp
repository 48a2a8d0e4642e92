#ifndef BILBERRYLEAD_SCENARIO_RUNNER_DEPLOYMENT_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_DEPLOYMENT_HPP

#include "child_process.hpp"
#include "load_options.hpp"
#include "relay.hpp"
#include "upstream_list.hpp"

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::scenario
{

/// Real processes on loopback: control hosts, entry hosts, stand-in
/// upstreams and loads, with a folder for everything they write, and with a
/// relay between every two hosts of the system that talk to each other.
class deployment
{
public:
    /// Makes an empty deployment over the programs in `binaries`.
    explicit deployment(std::filesystem::path binaries);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// Declares a zone; every other declaration needs its zone first.
    void add_zone(std::string const& zone, std::string const& region);
    /// Declares a control host.
    void add_control(std::string const& name, std::string const& zone);
    /// Declares an entry host; it is part of the configuration at once.
    void add_entry(std::string const& name, std::string const& zone);
    /// Declares a service: lookups, grants or downloads.
    void add_service(std::string const& name, std::string const& kind);
    /// Declares upstreams of a service, all run by one stand-in process.
    void add_upstreams(std::string const& service, std::uint32_t count,
                       std::string const& zone, std::string const& behaviour);

    /// Adds fields to the settings of all control hosts, or of all entry
    /// hosts; JSON. Hosts that run keep theirs.
    void add_settings(bool controls, std::string const& fields);
    /// From here on, upstreams are declared in a list that the control hosts
    /// read, and not in the configuration.
    void serve_upstream_list();

    /// Starts one host, or a zone's stand-in upstreams.
    void start(std::string const& name);
    /// Starts every host and stand-in that does not run.
    void start_all();
    /// The process of a host.
    child_process& process(std::string const& name);
    /// Forgets a host's process; it is killed if it runs.
    void kill(std::string const& name);
    /// Removes a control host's data folder.
    void lose_disk(std::string const& name);
    /// Sets the relays between one host and others, both ways.
    void cut(std::string const& name, std::vector<std::string> const& others,
             relay_mode outgoing, relay_mode incoming);
    /// Sets the relays between the hosts of a zone and all others.
    void cut_zone(std::string const& zone, relay_mode mode);
    /// Opens every relay.
    void heal();
    /// Delays what hosts of different regions send each other, one way; for
    /// hosts that start later.
    void delay_regions(std::chrono::milliseconds one_way);
    /// Sends a signal to hosts at the same moment, and waits for the end of
    /// those that it kills.
    void signal_all(std::vector<std::string> const& names, int number);

    /// Runs bilberryctl against all control hosts; what it wrote is in
    /// last_output().
    int ctl(std::vector<std::string> arguments);
    /// Runs bilberryctl against these control hosts only.
    int ctl_at(std::vector<std::string> const& controls,
               std::vector<std::string> arguments);
    /// What the last bilberryctl wrote to standard output.
    std::string const& last_output() const;
    /// Name of the control host that leads, empty if none does.
    std::string leader();
    /// Writes the declared configuration and gives the file's path.
    std::string write_configuration();
    /// The declared configuration, to be changed by steps.
    config::configuration& declared();

    /// Starts a load in the background.
    void start_load(std::string const& name, std::string const& service,
                    load_options const& options);
    /// Waits for a load's end; its report, as JSON text.
    std::string finish_load(std::string const& name);

    /// The port on which callers reach an entry host.
    std::uint16_t caller_port(std::string const& entry) const;
    /// The port of a host's metrics.
    std::uint16_t metrics_port(std::string const& name) const;
    /// The file with a host's log lines.
    std::filesystem::path log_file(std::string const& name) const;
    /// The port of a stand-in's admin paths, by service and zone.
    std::uint16_t admin_port(std::string const& stand_in) const;
    /// The port of an upstream.
    std::uint16_t upstream_port(std::string const& upstream) const;
    /// Names of all entry hosts.
    std::vector<std::string> entry_names() const;
    /// Names of all control hosts.
    std::vector<std::string> control_names() const;
    /// Names of all stand-ins.
    std::vector<std::string> stand_in_names() const;
    /// The folder with settings, data, logs and reports.
    std::filesystem::path const& folder() const;

private:
    struct host
    {
        std::string zone;
        bool is_control = false;
        std::uint16_t peer_port = 0;
        std::uint16_t second_port = 0;
        std::uint16_t metrics_port = 0;
    };

    struct stand_in
    {
        std::uint16_t first_port = 0;
        std::uint16_t admin_port = 0;
        std::uint32_t count = 0;
        std::string behaviour;
    };

    std::string write_settings(std::string const& name);
    std::string region_of(std::string const& zone) const;
    std::string host_list(std::string const& self, bool controls);
    std::uint16_t port_towards(std::string const& from, std::string const& to);
    std::string write_file(std::string const& name, std::string const& text);
    std::unique_ptr<child_process> run(std::string const& name,
                                       std::string const& program,
                                       std::vector<std::string> arguments);

    std::filesystem::path binaries;
    std::filesystem::path home;
    std::map<std::string, host> hosts;
    std::map<std::string, stand_in> stand_ins;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<relay>>
        relays;
    std::map<std::string, std::unique_ptr<child_process>> processes;
    std::map<std::string, std::unique_ptr<child_process>> loads;
    config::configuration configuration;
    // Added settings, as JSON: of entry hosts, of control hosts.
    std::map<bool, std::string> added_settings;
    std::unique_ptr<upstream_list> list;
    std::chrono::milliseconds region_delay{0};
    std::string output;
    std::uint64_t runs = 0;
};

} // namespace bilberrylead::scenario

#endif
