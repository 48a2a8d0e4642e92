#ifndef BILBERRYLEAD_REVIEW_STAND_INS_DEPLOYMENT_HPP
#define BILBERRYLEAD_REVIEW_STAND_INS_DEPLOYMENT_HPP

#include "review/stand_ins/record.hpp"
#include "review/stand_ins/wire.hpp"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberrylead::review
{

/// How large a deployment is.
struct deployment_size
{
    /// Control hosts, each in a region of its own.
    std::size_t control_hosts = 1;
    /// Entry hosts, all in the region of the first control host.
    std::size_t entry_hosts = 1;
    /// Losses of machines, zones or regions that it has to bear.
    int losses = 0;
};

/// A back end as the platform's list shows it.
struct listed_backend
{
    std::string id;
    std::string service;
    std::string address;
    std::string state = "ready";
};

/// A route as the operator configures it.
struct configured_route
{
    std::string path_prefix;
    std::string kind;
    std::string service;
};

/// The project's own programs on loopback addresses, and the platform and the
/// operator around them as the users' pages describe both.
class deployment
{
public:
    /// Chooses free loopback addresses. `program_folder` holds what the deploy
    /// file builds, `template_folder` its templates.
    deployment(deployment_size const& wanted, std::string program_folder,
               std::string template_folder, record& log);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// Makes the list of back ends this text from now on.
    void set_list(std::function<std::string()> text);

    /// Starts the list and all hosts. False if something could not start.
    bool start();

    /// Ends all hosts that were started.
    void stop();

    /// True once the entry host tells that it is ready.
    bool wait_until_ready(std::chrono::milliseconds patience);

    /// Sends a configuration to the control hosts in turn until one answers
    /// clearly. True if it was acknowledged.
    bool put(std::uint32_t version, std::vector<configured_route> const& routes,
             std::vector<std::string> const& services,
             std::chrono::milliseconds patience);

    /// Asks one control host for the configuration; follows 307 twice.
    http_result get(std::size_t control_host) const;

    /// One request of a caller, on a new connection.
    http_result request(std::string const& attempt, std::string const& method,
                        std::string const& path, std::string const& body) const;

    /// Head of a caller's request.
    static std::string request_head(std::string const& attempt,
                                    std::string const& method,
                                    std::string const& path,
                                    std::size_t body_length);

    /// Connects to the entry host as a caller.
    std::unique_ptr<connection> connect() const;

    /// A free address for a back end.
    std::string backend_address(int number) const;

    /// Process of a control host.
    pid_t control_process(std::size_t control_host) const;

    /// Process of the entry host.
    pid_t entry_process() const;

    /// True while all hosts run.
    bool all_run() const;

private:
    std::string address(int number) const;
    nlohmann::json fields(std::string const& ip, std::size_t place) const;
    bool start_host(std::string const& program, std::string const& settings,
                    std::string const& name, nlohmann::json const& fields);
    http_result order(std::string const& method, std::string const& path,
                      std::string const& body, std::size_t control_host) const;

    deployment_size size;
    std::string programs;
    std::string templates;
    record& log;
    std::string network;
    std::string folder;
    std::function<std::string()> list;
    std::vector<pid_t> processes;
};

/// The list with these back ends, as one page.
std::string write_list(std::vector<listed_backend> const& backends);

} // namespace bilberrylead::review

#endif
