#ifndef BILBERRYLEAD_SCENARIO_RUNNER_LOAD_OPTIONS_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_LOAD_OPTIONS_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace bilberrylead::scenario
{

/// What callers of a load do.
struct load_options
{
    /// Requests a second.
    std::uint32_t rate = 1;
    /// How long requests are started.
    std::chrono::seconds length{1};
    /// Requests that may be unanswered on a connection.
    std::uint32_t depth = 1;
    /// What follows the service in the path; empty: by the kind of service.
    std::string path;
    /// Key of the customer that sends all of them; empty: none.
    std::string customer_key;
};

} // namespace bilberrylead::scenario

#endif
