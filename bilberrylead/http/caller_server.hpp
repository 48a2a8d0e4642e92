#ifndef BILBERRYLEAD_HTTP_CALLER_SERVER_HPP
#define BILBERRYLEAD_HTTP_CALLER_SERVER_HPP

#include "bilberrylead/entry/effect.hpp"
#include "bilberrylead/entry/entry_counters.hpp"
#include "bilberrylead/entry/event.hpp"
#include "bilberrylead/http/http_counters.hpp"
#include "bilberrylead/http/server_settings.hpp"
#include "bilberrylead/policy/admission_demand.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace bilberrylead
{
class process_seed;
}

namespace bilberrylead::policy
{
class crash_history;
}

namespace bilberrylead::http
{

/// Serves callers: takes their requests, lets the entry reducer decide, and
/// carries them to upstreams and the answers back. Everything runs on the
/// one thread that runs the io_context; every member must be called there
/// or before it runs.
class caller_server
{
public:
    /// Takes the effects that are not carried out here: request_claim,
    /// report_completion, report_release, report_unknown and drained. It
    /// may call `dispatch`.
    using outside_sink = std::function<void(entry::effect const&)>;

    /// Prepares a server; `context` must outlive it.
    caller_server(boost::asio::io_context& context, server_settings chosen,
                  process_seed const& seed, outside_sink outside);
    /// Ends every connection. Run the context once more afterwards to free
    /// what they held.
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Starts to listen. Fails if the address is taken or no address.
    absl::Status listen();

    /// The port callers connect to; 0 before `listen`.
    std::uint16_t port() const;

    /// Takes an event from outside: configuration_received, claim_answered,
    /// completion_stored, load_reported, drain_requested, control_reachable,
    /// control_unreachable.
    void dispatch(entry::event happened);

    /// Revision in force, 0 before the first.
    bilberrylead::revision revision_in_force() const;

    /// True once a configuration is in force and until a drain begins.
    bool ready() const;

    /// What callers ask of each service now, in slots.
    std::map<service_id, double> demands() const;

    /// Demand of each service by rank and for the largest customers; empty
    /// unless admission is by plan.
    std::vector<policy::admission_demand> admission_demands() const;

    /// Requests under which upstreams ended, as known here.
    policy::crash_history const& crash_history() const;

    /// What the decisions counted.
    entry::entry_counters const& decision_counters() const;

    /// What the connections counted.
    http_counters const& connection_counters() const;

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace bilberrylead::http

#endif
