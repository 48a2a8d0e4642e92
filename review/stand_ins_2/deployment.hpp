#ifndef BILBERRYLEAD_REVIEW_STAND_INS_2_DEPLOYMENT_HPP
#define BILBERRYLEAD_REVIEW_STAND_INS_2_DEPLOYMENT_HPP

#include "review/stand_ins_2/backend.hpp"
#include "review/stand_ins_2/record.hpp"
#include "review/stand_ins_2/sockets.hpp"

#include <sys/types.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bilberrylead::review
{

/// One process of the project, on a loopback address of its own.
struct machine
{
    std::string name;
    std::string ip;
    std::string zone;
    bool is_edge = false;
    pid_t process = 0;
    /// How the process ended by itself; empty while it runs.
    std::string ending;
};

/// What a deployment is made of.
struct deployment_plan
{
    std::size_t edges = 2;
    /// Written into the configuration.
    std::size_t max_header_bytes = 16384;
};

/// Three core machines and some edge machines in three zones of one region,
/// the platform's list of backends, and an operator. The processes are
/// started with the commands and templates of the deploy file.
class deployment
{
public:
    /// The list's answer to one call.
    using list_function = std::function<std::string()>;

    deployment(record& lines, deployment_plan const& plan);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// A backend of a service, not yet in the list.
    backend& add_backend(std::string const& id, std::string const& service,
                         milliseconds work);
    void set_list(list_function wanted);
    /// One row of the list.
    static std::string row(backend const& of, std::string const& state);
    /// The list's answer with these rows, as they are.
    static std::string list(std::vector<std::string> const& rows);

    /// Starts all processes, puts the configuration and waits until each edge
    /// machine is ready and the list has been read; exits with 2 if that
    /// fails.
    void start(std::string const& configuration);
    /// One order to any core machine, as the operator sends it. The status of
    /// the final answer; 0 if there was none in that time.
    unsigned order(std::string const& target, std::string const& body,
                   milliseconds longest);

    std::vector<machine> const& edges() const
    {
        return this->edge_machines;
    }

    std::vector<machine> const& cores() const
    {
        return this->core_machines;
    }

    address front(machine const& of) const;
    bool is_ready(machine const& of) const;
    void send_signal(machine const& to, int signal) const;
    /// Restarts a process that has ended or been killed.
    void restart(machine& of);
    machine& edge(std::size_t place)
    {
        return this->edge_machines[place];
    }

    machine& core(std::size_t place)
    {
        return this->core_machines[place];
    }

    /// Notes processes that have ended by themselves; true if any has.
    bool check_processes();
    /// Ends the case with the reason in the record.
    [[noreturn]] void give_up(std::string const& why);
    /// An address for a stand-in, on a free port.
    address next_address();

private:
    void choose_addresses();
    std::string settings_of(machine const& of, bool is_first) const;
    void start_process(machine& of, bool is_first);
    void serve_list(connection& from);
    std::optional<http_message> call_core(std::size_t tries,
                                          std::string const& method,
                                          std::string const& target,
                                          std::string const& body);
    void stop_all();

    record& lines;
    deployment_plan plan;
    std::string root;
    std::string folder;
    std::string network;
    std::uint16_t base_port = 0;
    unsigned next_host = 100;
    std::vector<machine> core_machines;
    std::vector<machine> edge_machines;
    std::vector<std::unique_ptr<backend>> backends;
    std::mutex list_mutex;
    list_function listed;
    std::unique_ptr<listener> list_port;
    address list_address;
};

/// A configuration with one host and these rules (JSON texts).
std::string configuration_of(std::string const& version,
                             std::size_t max_header_bytes,
                             std::vector<std::string> const& rules,
                             std::vector<std::string> const& services);
/// A rule of that configuration.
std::string rule_of(std::string const& prefix, std::string const& kind,
                    std::string const& service, std::string const& timeout_s);

/// The host that the routes are for.
extern char const* const route_host;

} // namespace bilberrylead::review

#endif
